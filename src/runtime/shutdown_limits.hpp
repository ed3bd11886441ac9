#pragma once
// Time limits for requests during a gateway's graceful shutdown; the same for all client interfaces.
#include <algorithm>

#include "mosskeel/common.hpp"

namespace mosskeel {

/// From this point of a graceful shutdown, new requests that may outlast it are rejected. Earlier requests are accepted
/// and only limited by the end of the shutdown, because most finish long before their deadline. Clients may rely on
/// being served or rejected from 3 s on.
inline constexpr Duration kShutdownRefusalDelay = 2700ms;
/// How long before the process may be killed all responses of a stopping gateway must be complete.
inline constexpr Duration kShutdownMargin = 500ms;

/// Limits of a shutdown that is in progress.
///
/// No request is cut off by the kill at the end of the grace period: a request ends at its deadline, and `clamped`
/// moves the deadline before the kill. A client that is still waiting then gets a response, "not run" if that is
/// certain.
struct ShutdownLimits {
  /// When the process was asked to stop.
  TimePoint begun_at{};
  /// From this time, a new request whose deadline is after `ends_at` is rejected without being run.
  TimePoint refuse_from{};
  /// Every response must be complete by this time, because the process may be killed soon after.
  TimePoint ends_at{};

  /// @param grace time after `begun_at` at which the process may be killed.
  static ShutdownLimits begin(TimePoint begun_at, Duration grace) {
    auto ends_at = begun_at + std::max<Duration>(grace - kShutdownMargin, 0ms);
    auto refuse_from = std::min(begun_at + kShutdownRefusalDelay, ends_at);
    return {begun_at, refuse_from, ends_at};
  }
  /// Returns whether a request that arrives now must be rejected because its deadline is after the end of the shutdown.
  bool refuses(TimePoint deadline, TimePoint now) const { return now >= refuse_from && deadline > ends_at; }
  /// Returns the effective deadline of a request that is served during the shutdown.
  TimePoint clamped(TimePoint deadline) const { return std::min(deadline, ends_at); }
};

}  // namespace mosskeel
