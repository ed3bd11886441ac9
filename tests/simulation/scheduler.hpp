#pragma once
// The clock and the pending events of a simulated world.
#include <algorithm>
#include <functional>
#include <queue>
#include <tuple>

#include "runtime/constants.hpp"

namespace mosskeel::sim {

/// A queue of events on a simulated clock, which moves only from event to event.
///
/// Events at the same moment run in the order in which they were scheduled, so that a seed always gives the same run.
class Scheduler {
 public:
  TimePoint now() const { return now_; }
  void at(TimePoint when, std::function<void()> action) { events_.push({when, ++sequence_, std::move(action)}); }
  bool has_event_until(TimePoint end) const { return !events_.empty() && events_.top().when <= end; }
  /// Removes the first event, moves the clock to it and runs it.
  void run_next() {
    auto action = events_.top().action;
    now_ = std::max(now_, events_.top().when);
    events_.pop();
    action();
  }
  void advance_to(TimePoint time) { now_ = time; }

 private:
  struct Event {
    TimePoint when;
    uint64_t sequence;
    std::function<void()> action;
    /// std::priority_queue puts the greatest element first, so the earliest event compares as the greatest.
    bool operator<(const Event& other) const { return std::tie(when, sequence) > std::tie(other.when, other.sequence); }
  };

  TimePoint now_ = kProcessClockStart;
  uint64_t sequence_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace mosskeel::sim
