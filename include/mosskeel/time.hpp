#pragma once
// Time as state machines see it.
#include <chrono>
#include <cstdint>
#include <limits>

namespace mosskeel {

using namespace std::chrono_literals;

/// A length of time. Messages, records and settings carry it as an integer whose name ends in `_ms`.
using Duration = std::chrono::milliseconds;

/// The steady clock of one process. It is never read directly: each step of a state machine is given the time.
struct ProcessClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<ProcessClock>;
  static constexpr bool is_steady = true;
};

/// A point on one process's own clock. Points of two processes are not comparable.
using TimePoint = ProcessClock::time_point;

/// Before every point that a clock shows; the time since then does not overflow.
constexpr TimePoint kLongAgo{Duration{std::numeric_limits<int64_t>::min() / 2}};

/// The point as an integer, for messages and records.
constexpr int64_t to_milliseconds(TimePoint point) {
  return point.time_since_epoch().count();
}

/// The point that `to_milliseconds` made into an integer.
constexpr TimePoint from_milliseconds(int64_t milliseconds) {
  return TimePoint{Duration{milliseconds}};
}

}  // namespace mosskeel
