#pragma once
// What the control state of a front tells its traffic, swapped whole.
#include "metadata/values.hpp"

namespace mosskeel {

/// `until` is when, in the process's own ms, the view may no longer be dispatched on: it was in touch before.
struct RoutingSnapshot {
  View view;
  DaemonId me{};
  Millis until = 0;
  bool ready = false, leaving = false;
};

}  // namespace mosskeel
