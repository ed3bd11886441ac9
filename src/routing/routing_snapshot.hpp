#pragma once
// What a gateway's control state tells its routing thread.
#include "metadata/metadata.hpp"

namespace mosskeel {

/// Immutable; replaced as a whole after each step of the control state.
struct RoutingSnapshot {
  /// Never null. Empty metadata before the gateway has heard of the cluster.
  MetadataSnapshot view;
  /// This gateway's number in the directory; 0 before it is registered.
  DaemonId self_id{};
  /// When majority contact expires, after which nothing may be dispatched.
  TimePoint dispatch_until{};
  /// Whether the gateway may report readiness to the platform.
  bool ready = false;
};

}  // namespace mosskeel
