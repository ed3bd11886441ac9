#pragma once
// What the control state of a front tells its traffic, swapped whole.
#include "metadata/metadata.hpp"

namespace mosskeel {

/// `dispatch_until` is when, in the process's own ms, the view may no longer be dispatched on: it was in touch before.
struct RoutingSnapshot {
  View view;
  DaemonId self_id{};
  Millis dispatch_until = 0;
  bool ready = false, leaving = false;
};

}  // namespace mosskeel
