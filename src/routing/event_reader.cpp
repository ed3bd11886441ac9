#include "routing/event_reader.hpp"

namespace mosskeel {

void EventReader::line(std::string_view s) {
  if (s.ends_with('\r'))
    s.remove_suffix(1);
  if (s.empty()) {
    if (any_) {
      ++events_;
      if (gather_)
        data_ += event_ + "\n";
      last_id_ = id_;
    }
    event_.clear();
    any_ = false;
    return;
  }
  auto colon = s.find(':');
  auto name = s.substr(0, colon);
  auto value = colon == std::string_view::npos ? std::string_view{} : s.substr(colon + 1);
  if (value.starts_with(' '))
    value.remove_prefix(1);
  if (name == "id")
    id_ = value;
  if (name != "data")
    return;
  if (gather_) {
    if (any_)
      event_ += '\n';
    event_ += value;
  }
  any_ = true;
}

void EventReader::read(std::string_view s) {
  while (!s.empty()) {
    auto n = s.find('\n');
    if (n == std::string_view::npos) {
      line_ += s;
      return;
    }
    if (line_.empty()) {
      line(s.substr(0, n));
    } else {
      line_ += s.substr(0, n);
      line(line_);
      line_.clear();
    }
    s.remove_prefix(n + 1);
  }
}

}  // namespace mosskeel
