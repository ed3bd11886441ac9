#pragma once
// An epoll-based event loop with timers and functions posted from other threads.
#include <atomic>
#include <mutex>
#include <thread>
#include <unordered_map>

#include "base/fd.hpp"
#include "mosskeel/common.hpp"

namespace mosskeel {

/// A time point of the monotonic clock.
using MonotonicTime = std::chrono::time_point<std::chrono::steady_clock, Duration>;

MonotonicTime monotonic_now();

/// An event loop built on epoll, with an eventfd for wake-ups and a heap of timers.
///
/// `post` and `stop` are thread-safe; all other functions may only be called from the thread that runs the loop, or
/// before it runs. Each iteration runs the callbacks of ready descriptors, then posted functions, then due timers.
class EventLoop {
 public:
  /// @param events the epoll events that occurred.
  using ReadyCallback = std::function<void(uint32_t events)>;
  EventLoop();
  /// Calls `on_ready` when one of the epoll events occurs. For a descriptor that is already watched, this replaces its
  /// events and callback. The caller keeps ownership of the descriptor and must call `unwatch` before closing it.
  void watch(int fd, uint32_t events, ReadyCallback on_ready);
  /// Changes the events of a watched descriptor and keeps its callback.
  void set_events(int fd, uint32_t events);
  /// Safe to call inside the descriptor's own callback and while its events are pending; pending events are discarded.
  void unwatch(int fd);
  /// Runs the function on the loop's thread, no later than in the next iteration.
  void post(std::function<void()> function);
  /// Runs the function once after `delay`; a negative delay counts as 0.
  /// @return the timer's id for `cancel`, never 0.
  uint64_t run_after(Duration delay, std::function<void()> function);
  /// Does nothing if the timer has already run.
  void cancel(uint64_t timer);
  /// Runs until `stop` is called; may be called again afterwards.
  void run();
  void stop();

 private:
  struct WatchedDescriptor {
    /// Distinguishes events of this descriptor from those of an earlier one with the same number.
    uint32_t generation{};
    /// Shared, so that the callback survives an `unwatch` that it makes itself.
    std::shared_ptr<ReadyCallback> on_ready;
  };
  /// An entry of the timer heap. Cancelled timers stay in the heap until they are popped or purged.
  struct ScheduledTimer {
    MonotonicTime due_at{};
    uint64_t timer{};
    /// Orders the heap so that the earliest timer is on top.
    bool operator<(const ScheduledTimer& other) const {
      return std::pair(due_at, timer) > std::pair(other.due_at, other.timer);
    }
  };
  void control_epoll(int operation, int fd, uint32_t events, uint32_t generation);
  void wake();
  /// Timeout for epoll_wait in milliseconds; -1 waits indefinitely.
  int wait_timeout();
  void run_ready(int timeout);
  void run_posted();
  void run_due_timers();
  /// Removes the earliest timer from the heap and returns its id.
  uint64_t pop_timer();

  Fd epoll_;
  /// An eventfd that interrupts epoll_wait.
  Fd wake_event_;
  std::unordered_map<int, WatchedDescriptor> watched_;
  uint32_t last_generation_ = 0;
  std::vector<ScheduledTimer> timer_heap_;
  /// Callbacks of the pending timers, by timer id.
  std::unordered_map<uint64_t, std::function<void()>> timers_;
  uint64_t last_timer_ = 0;
  /// Guards `posted_` and `wake_pending_`.
  std::mutex mutex_;
  std::vector<std::function<void()>> posted_;
  bool wake_pending_ = false;
  /// Id of the thread that runs the loop.
  std::atomic<std::thread::id> thread_{};
  std::atomic<bool> stop_requested_ = false;
};

}  // namespace mosskeel
