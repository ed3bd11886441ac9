#pragma once
// Time types used by state machines.
#include <chrono>
#include <cstdint>
#include <limits>

namespace mosskeel {

using namespace std::chrono_literals;

/// A duration. Messages, records and settings represent it as an integer field with the suffix `_ms`.
using Duration = std::chrono::milliseconds;

/// The steady clock of one process. State machines never read it; each step receives the time as an argument.
struct ProcessClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<ProcessClock>;
  static constexpr bool is_steady = true;
};

/// A time on one process's clock. Times of different processes are not comparable.
using TimePoint = ProcessClock::time_point;

/// A time earlier than any that a clock returns. Subtracting it from a clock's time does not overflow.
constexpr TimePoint kLongAgo{Duration{std::numeric_limits<int64_t>::min() / 2}};

/// Converts a time to an integer for messages and records.
constexpr int64_t to_milliseconds(TimePoint point) {
  return point.time_since_epoch().count();
}

/// Converts an integer from `to_milliseconds` back to a time.
constexpr TimePoint from_milliseconds(int64_t milliseconds) {
  return TimePoint{Duration{milliseconds}};
}

}  // namespace mosskeel
