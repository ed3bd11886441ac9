#pragma once
// Server-sent events, as models send them and callers read them.
#include <cstdint>
#include <string>
#include <vector>

namespace mosskeel::platform_stub {

/// One event of a stream; its id is its number, counted from 1.
struct StreamEvent {
  uint64_t id = 0;
  std::string data;
};

/// The events of a body that are complete; what follows the last of them is ignored.
std::vector<StreamEvent> parse_events(const std::string& body);

}  // namespace mosskeel::platform_stub
