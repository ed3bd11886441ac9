#include "routing/event_reader.hpp"

#include <algorithm>

namespace mosskeel {
namespace {

/// Enough for a field's name and for the id of an event.
constexpr size_t kMaxLineBeginBytes = 1024;

}  // namespace

void EventReader::finish_event() {
  if (event_has_data_) {
    ++events_;
    if (collect_data_)
      data_ += event_data_ + "\n";
    last_id_ = event_id_;
  }
  event_data_.clear();
  event_has_data_ = false;
}

void EventReader::read_line(std::string_view line) {
  if (line.ends_with('\r'))
    line.remove_suffix(1);
  if (line.empty()) {
    finish_event();
    return;
  }
  auto colon = line.find(':');
  auto name = line.substr(0, colon);
  auto value = colon == std::string_view::npos ? std::string_view{} : line.substr(colon + 1);
  if (value.starts_with(' '))
    value.remove_prefix(1);
  if (name == "id")
    event_id_ = value;
  if (name != "data")
    return;
  if (collect_data_) {
    if (event_has_data_)
      event_data_ += '\n';
    event_data_ += value;
  }
  event_has_data_ = true;
}

void EventReader::append_to_line(std::string_view bytes) {
  if (!collect_data_)
    bytes = bytes.substr(0, kMaxLineBeginBytes - std::min(kMaxLineBeginBytes, partial_line_.size()));
  partial_line_ += bytes;
}

bool EventReader::read(std::string_view bytes) {
  while (!bytes.empty()) {
    auto line_feed = bytes.find('\n');
    if (line_feed == std::string_view::npos) {
      append_to_line(bytes);
      break;
    }
    if (partial_line_.empty()) {
      read_line(bytes.substr(0, line_feed));
    } else {
      append_to_line(bytes.substr(0, line_feed));
      read_line(partial_line_);
      partial_line_.clear();
    }
    bytes.remove_prefix(line_feed + 1);
  }
  return !collect_data_ || held_bytes() <= max_bytes_;
}

}  // namespace mosskeel
