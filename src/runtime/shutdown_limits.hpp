#pragma once
// What a graceful stop of a gateway leaves time for; the same for all interfaces that callers use.
#include <algorithm>

#include "mosskeel/common.hpp"

namespace mosskeel {

/// Requests that come so late in a graceful stop are refused where they may outlast it. Before, only its end cuts them:
/// most are served much faster than their deadline says. A caller may rely on being served or refused from 3 s on.
inline constexpr Duration kShutdownRefusalDelay = 2700ms;
/// The responses of a stopping gateway are complete so long before it may be killed.
inline constexpr Duration kShutdownMargin = 500ms;

/// The limits of a stop that has begun.
///
/// No request is left to be cut by the kill at the end of the grace: it ends with its deadline, and `clamped` moves
/// that before the kill. Who then still waits is told so, "not run" where that is certain.
struct ShutdownLimits {
  /// When the process was told to stop.
  TimePoint begun_at{};
  /// From then on a request is rejected unrun that may last longer than `ends_at`.
  TimePoint refuse_from{};
  /// By then every response must be complete, for the process may be killed.
  TimePoint ends_at{};

  /// @param grace how long after `begun_at` the process may be killed.
  static ShutdownLimits begin(TimePoint begun_at, Duration grace) {
    auto ends_at = begun_at + std::max<Duration>(grace - kShutdownMargin, 0ms);
    auto refuse_from = std::min(begun_at + kShutdownRefusalDelay, ends_at);
    return {begun_at, refuse_from, ends_at};
  }
  /// Whether a request that comes now is to be rejected, for its time ends after the stop does.
  bool refuses(TimePoint deadline, TimePoint now) const { return now >= refuse_from && deadline > ends_at; }
  /// The deadline of a request that the stopping gateway serves.
  TimePoint clamped(TimePoint deadline) const { return std::min(deadline, ends_at); }
};

}  // namespace mosskeel
