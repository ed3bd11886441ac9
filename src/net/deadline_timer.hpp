#pragma once
// A deadline on an event loop that is moved often.
#include "net/event_loop.hpp"

namespace mosskeel {

/// Calls a function once its deadline has passed. Moving the deadline later, as every byte on a connection does, costs
/// no timer: the one that runs finds out that it is early and is set anew. On the loop's thread only.
class DeadlineTimer {
 public:
  DeadlineTimer(EventLoop& loop, std::function<void()> on_expired) : loop_(loop), on_expired_(std::move(on_expired)) {}
  DeadlineTimer(const DeadlineTimer&) = delete;
  DeadlineTimer& operator=(const DeadlineTimer&) = delete;
  ~DeadlineTimer() { cancel(); }
  /// Sets the deadline to `delay` from now, in place of an earlier one; 0 clears it.
  void set(Duration delay);
  /// There is no deadline until the next `set`.
  void clear() { deadline_.reset(); }
  /// Clears the deadline and drops the loop's timer.
  void cancel();

 private:
  void start_timer(Duration delay);
  void on_timer();

  EventLoop& loop_;
  std::function<void()> on_expired_;
  std::optional<MonotonicTime> deadline_;
  /// The loop's timer, 0 where none runs, and when it is due: never after the deadline.
  uint64_t timer_ = 0;
  MonotonicTime timer_due_at_{};
};

}  // namespace mosskeel
