#pragma once
// What the platform's list says of a replica, and the figures that list, replicas and configuration share.
#include "net/event_loop.hpp"

namespace mosskeel::platform_stub {

/// Requests that a replica executes at once.
inline constexpr uint32_t kReplicaCapacity = 8;
/// Tokens in one event of a model's stream.
inline constexpr uint32_t kTokensPerEvent = 4;
/// Requests a second that a cold replica is configured to bear.
inline constexpr double kColdRequestsPerSecond = 8;
/// The list shows what was the case this long ago.
inline constexpr Duration kListLag = 800ms;
/// A replica serves on for this long after the list has named it as draining.
inline constexpr Duration kDrainTime = 3000ms;

/// One entry of the list.
struct ListedReplica {
  std::string id;
  std::string service;
  std::string zone;
  Address address;
  /// Where it is about to leave.
  std::optional<MonotonicTime> draining_since;
  MonotonicTime cold_until{};
  /// Requests that it executes at once.
  uint32_t slots = kReplicaCapacity;

  /// From when on it is gone, and no new request may reach it.
  std::optional<MonotonicTime> gone_from() const {
    if (!draining_since)
      return std::nullopt;
    return *draining_since + kListLag + kDrainTime;
  }
};

}  // namespace mosskeel::platform_stub
