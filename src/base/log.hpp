#pragma once
// Numbered events through glog.
#include "base/events.hpp"
#include "mosskeel/common.hpp"

namespace mosskeel {

/// An event with its particulars, to be logged.
struct Note {
  Event event;
  std::string text;
};

void start_log(const char* program);
void note(Event e, const std::string& text);
const char* meaning(Event e);

}  // namespace mosskeel
