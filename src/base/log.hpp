#pragma once
// Numbered events through glog.
#include "base/events.hpp"
#include "mosskeel.hpp"

namespace mosskeel {

void start_log(const char* program);
void note(Event e, const std::string& text);
const char* meaning(Event e);

}  // namespace mosskeel
