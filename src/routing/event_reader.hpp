#pragma once
// Reads a text/event-stream as it passes: counts events and gathers their data.
#include "mosskeel/common.hpp"

namespace mosskeel {

class EventReader {
 public:
  /// With `gather`, the data of each event is kept, a line feed behind each.
  explicit EventReader(bool gather = false) : gather_(gather) {}
  void read(std::string_view s);
  /// Whole events so far.
  uint64_t events() const { return events_; }
  const std::string& data() const { return data_; }
  /// The id of the last whole event that had one.
  const std::string& last_id() const { return last_id_; }

 private:
  void line(std::string_view s);
  bool gather_, any_ = false;
  uint64_t events_ = 0;
  std::string line_, event_, data_, id_, last_id_;
};

}  // namespace mosskeel
