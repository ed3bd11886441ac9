#pragma once
// Incremental parser for a text/event-stream body (server-sent events).
#include "mosskeel/common.hpp"

namespace mosskeel {

/// Counts the events of a stream and optionally collects their data. The input may be split at any byte.
///
/// Invariant: without collected data, no more than the beginning of one line is held; with it, no more than the limit
/// and the bytes of one call of `read`.
class EventReader {
 public:
  /// With `collect_data`, stores the data of each complete event, followed by a line feed.
  /// @param max_bytes limit of `held_bytes()` if data is collected.
  explicit EventReader(bool collect_data = false, size_t max_bytes = SIZE_MAX)
      : collect_data_(collect_data), max_bytes_(max_bytes) {}
  /// @return false if the limit is exceeded; nothing more must be read then.
  [[nodiscard]] bool read(std::string_view bytes);
  /// Number of complete events with data so far.
  uint64_t events() const { return events_; }
  /// The data collected so far; empty without `collect_data`.
  const std::string& data() const { return data_; }
  /// Frees the collected data.
  void discard_data() { std::string().swap(data_); }
  /// Bytes that are held: of the data, and of the line and the event that are not complete.
  size_t held_bytes() const { return data_.size() + event_data_.size() + partial_line_.size(); }
  /// The last event id as of the last complete event; empty if there was none.
  const std::string& last_id() const { return last_id_; }

 private:
  void append_to_line(std::string_view bytes);
  void read_line(std::string_view line);
  void finish_event();

  bool collect_data_{};
  size_t max_bytes_ = SIZE_MAX;
  uint64_t events_ = 0;
  std::string data_;
  std::string last_id_;
  /// The current line, as long as its end has not arrived; without collected data, only its beginning.
  std::string partial_line_;
  /// The current event, as long as its terminating blank line has not arrived.
  bool event_has_data_ = false;
  std::string event_data_;
  std::string event_id_;
};

}  // namespace mosskeel
