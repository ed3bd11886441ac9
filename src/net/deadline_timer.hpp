#pragma once
// A deadline on an event loop that can be moved cheaply.
#include "net/event_loop.hpp"

namespace mosskeel {

/// Calls a function once its deadline has passed. Moving the deadline later, as happens with every byte on a
/// connection, does not create a new timer: the running timer fires early, notices that and reschedules itself. Must be
/// used on the event loop's thread.
class DeadlineTimer {
 public:
  DeadlineTimer(EventLoop& loop, std::function<void()> on_expired) : loop_(loop), on_expired_(std::move(on_expired)) {}
  DeadlineTimer(const DeadlineTimer&) = delete;
  DeadlineTimer& operator=(const DeadlineTimer&) = delete;
  ~DeadlineTimer() { cancel(); }
  /// Sets the deadline to `delay` from now, replacing any previous one; 0 clears it.
  void set(Duration delay);
  /// Clears the deadline until the next `set`; the loop's timer keeps running.
  void clear() { deadline_.reset(); }
  /// Clears the deadline and cancels the loop's timer.
  void cancel();

 private:
  void start_timer(Duration delay);
  void on_timer();

  EventLoop& loop_;
  std::function<void()> on_expired_;
  std::optional<MonotonicTime> deadline_;
  /// Id of the loop's timer (0 if none is running) and its due time, which is never after the deadline.
  uint64_t timer_ = 0;
  MonotonicTime timer_due_at_{};
};

}  // namespace mosskeel
