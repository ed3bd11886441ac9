#pragma once
// The state that a gateway's state machine publishes to its routing thread.
#include "metadata/metadata.hpp"

namespace mosskeel {

/// Immutable; replaced as a whole after each step of the state machine.
struct RoutingSnapshot {
  /// Never null. Empty before the gateway has received the cluster's metadata.
  MetadataSnapshot view;
  /// This gateway's id in the directory; 0 before it is registered.
  DaemonId self_id{};
  /// When majority contact expires; from then on nothing may be dispatched.
  TimePoint dispatch_until{};
  /// Whether the gateway may report readiness to the platform.
  bool ready = false;
};

}  // namespace mosskeel
