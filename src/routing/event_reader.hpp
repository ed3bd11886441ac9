#pragma once
// Incremental reader of a text/event-stream body (server-sent events).
#include "mosskeel/common.hpp"

namespace mosskeel {

/// Counts the events of a stream as its bytes pass, and collects their data on request. Bytes may be split anywhere.
class EventReader {
 public:
  /// With `collect_data`, the data of each complete event is kept, followed by a line feed.
  explicit EventReader(bool collect_data = false) : collect_data_(collect_data) {}
  /// Reads the next bytes of the stream.
  void read(std::string_view bytes);
  /// Number of complete events with data so far.
  uint64_t events() const { return events_; }
  /// The data collected so far; empty without `collect_data`.
  const std::string& data() const { return data_; }
  /// The id that was in force at the last complete event; empty where none was given.
  const std::string& last_id() const { return last_id_; }

 private:
  void read_line(std::string_view line);
  void finish_event();

  bool collect_data_{};
  uint64_t events_ = 0;
  std::string data_;
  std::string last_id_;
  /// The line whose end has not arrived yet.
  std::string partial_line_;
  /// Data and id of the event whose blank line has not arrived yet.
  bool event_has_data_ = false;
  std::string event_data_;
  std::string event_id_;
};

}  // namespace mosskeel
