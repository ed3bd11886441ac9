#pragma once
// One thread's readiness events, posted functions and timers.
#include <atomic>
#include <mutex>
#include <thread>
#include <unordered_map>

#include "base/fd.hpp"
#include "mosskeel/common.hpp"

namespace mosskeel {

/// A point on the machine's monotonic clock.
using MonotonicTime = std::chrono::time_point<std::chrono::steady_clock, Duration>;

MonotonicTime monotonic_now();

/// An event loop over epoll, with an eventfd to wake it and a heap of timers.
///
/// `post` and `stop` may be called from any thread, everything else only from the thread that runs the loop (or before
/// it runs). One iteration calls the ready descriptors, then the posted functions, then the timers that are due.
class EventLoop {
 public:
  /// @param events the epoll events that are there.
  using ReadyCallback = std::function<void(uint32_t events)>;
  EventLoop();
  /// Calls `on_ready` when one of the epoll events occurs; on a descriptor that is watched already it replaces events
  /// and callback. The descriptor stays the caller's, who unwatches it before closing it.
  void watch(int fd, uint32_t events, ReadyCallback on_ready);
  /// Changes only the events of a watched descriptor.
  void set_events(int fd, uint32_t events);
  /// Safe inside the descriptor's own callback and while events of it are pending: they are not delivered any more.
  void unwatch(int fd);
  /// Runs the function on the loop's thread, in the next iteration at the latest.
  void post(std::function<void()> function);
  /// Runs the function once after `delay`, at once where that is negative.
  /// @return the timer's id for `cancel`, never 0.
  uint64_t run_after(Duration delay, std::function<void()> function);
  /// No effect on timers that have run already.
  void cancel(uint64_t timer);
  /// Returns after `stop`; may be run again then.
  void run();
  void stop();

 private:
  struct WatchedDescriptor {
    /// Tells events of this descriptor from those of an earlier one with the same number.
    uint32_t generation{};
    /// Shared, so that it outlives an unwatch from within.
    std::shared_ptr<ReadyCallback> on_ready;
  };
  /// An entry of the heap; timers that were cancelled stay in it until it is cleaned.
  struct ScheduledTimer {
    MonotonicTime due_at{};
    uint64_t timer{};
    /// The earliest is on top of the heap.
    bool operator<(const ScheduledTimer& other) const {
      return std::pair(due_at, timer) > std::pair(other.due_at, other.timer);
    }
  };
  void control_epoll(int operation, int fd, uint32_t events, uint32_t generation);
  void wake();
  /// Milliseconds until something is due, -1 for ever, as epoll_wait takes them.
  int wait_timeout();
  void run_ready(int timeout);
  void run_posted();
  void run_due_timers();
  /// Takes the earliest timer off the heap.
  uint64_t pop_timer();

  Fd epoll_;
  /// An eventfd that ends epoll_wait.
  Fd wake_event_;
  std::unordered_map<int, WatchedDescriptor> watched_;
  uint32_t last_generation_ = 0;
  std::vector<ScheduledTimer> timer_heap_;
  /// The functions of the timers that have neither run nor been cancelled.
  std::unordered_map<uint64_t, std::function<void()>> timers_;
  uint64_t last_timer_ = 0;
  /// Guards `posted_` and `wake_pending_`.
  std::mutex mutex_;
  std::vector<std::function<void()>> posted_;
  bool wake_pending_ = false;
  /// The thread that runs the loop.
  std::atomic<std::thread::id> thread_{};
  std::atomic<bool> stop_requested_ = false;
};

}  // namespace mosskeel
