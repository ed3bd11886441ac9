#pragma once
// One thread's readiness, posted functions and timers.
#include <atomic>
#include <mutex>
#include <thread>
#include <unordered_map>

#include "base/fd.hpp"
#include "mosskeel/common.hpp"

namespace mosskeel {

/// Milliseconds of the monotonic clock.
Millis monotonic_ms();

/// epoll, an eventfd and a heap of timers; everything but post() and stop() only from the loop's own thread.
/// One batch: the ready descriptors, then the posted functions, then the timers that are due.
class EventLoop {
 public:
  using ReadyCallback = std::function<void(uint32_t events)>;
  EventLoop();
  /// Adds or changes; the descriptor stays the caller's, who forgets it before closing it.
  void watch(int fd, uint32_t events, ReadyCallback f);
  /// Changes only the events of a watched descriptor.
  void watch(int fd, uint32_t events);
  /// Safe inside its own callback and for descriptors with pending events.
  void unwatch(int fd);
  /// From any thread; runs with the next batch at the latest.
  void post(std::function<void()> f);
  uint64_t run_after(Millis ms, std::function<void()> f);
  void cancel(uint64_t timer);
  /// Until stop().
  void run();
  void stop();

 private:
  struct Watched {
    uint32_t generation;
    std::shared_ptr<ReadyCallback> ready;
  };
  struct Due {
    Millis at;
    uint64_t timer;
    bool operator<(const Due& o) const { return std::pair(at, timer) > std::pair(o.at, o.timer); }
  };
  void control(int op, int fd, uint32_t events, uint32_t generation);
  int patience();
  void run_posted();
  void run_due();
  Fd epoll_, wake_;
  std::unordered_map<int, Watched> watched_;
  uint32_t generation_ = 0;
  std::vector<Due> heap_;
  std::unordered_map<uint64_t, std::function<void()>> timers_;
  uint64_t last_timer_ = 0;
  std::mutex lock_;
  std::vector<std::function<void()>> posted_;
  bool woken_ = false;
  std::atomic<std::thread::id> thread_{};
  std::atomic<bool> stopping_ = false;
};

}  // namespace mosskeel
