#include "net/event_loop.hpp"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace mosskeel {
namespace {

constexpr size_t kMaxEventsPerWait = 256;
/// Keeps the timeout within the int that epoll_wait takes; the loop waits again afterwards.
constexpr Duration kMaxWait = 3600000ms;
/// Cancelled timers are purged once they outnumber the pending ones by this many.
constexpr size_t kMaxExcessCancelledTimers = 64;

uint64_t epoll_key(int fd, uint32_t generation) {
  return uint64_t{generation} << 32 | static_cast<uint32_t>(fd);
}

int fd_of(uint64_t key) {
  return static_cast<int>(key & 0xffffffff);
}

uint32_t generation_of(uint64_t key) {
  return static_cast<uint32_t>(key >> 32);
}

}  // namespace

MonotonicTime monotonic_now() {
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

EventLoop::EventLoop() : epoll_(::epoll_create1(EPOLL_CLOEXEC)), wake_event_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  if (!epoll_ || !wake_event_) {
    throw std::system_error(errno, std::generic_category(), "epoll");
  }
  watch(wake_event_.get(), EPOLLIN, [this](uint32_t) {
    uint64_t count = 0;
    [[maybe_unused]] auto read_bytes = ::read(wake_event_.get(), &count, sizeof count);
  });
}

void EventLoop::control_epoll(int operation, int fd, uint32_t events, uint32_t generation) {
  epoll_event event{};
  event.events = events;
  event.data.u64 = epoll_key(fd, generation);
  if (::epoll_ctl(epoll_.get(), operation, fd, &event) < 0) {
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  }
}

void EventLoop::watch(int fd, uint32_t events, ReadyCallback on_ready) {
  auto callback = std::make_shared<ReadyCallback>(std::move(on_ready));
  auto found = watched_.find(fd);
  if (found != watched_.end()) {
    control_epoll(EPOLL_CTL_MOD, fd, events, found->second.generation);
    found->second.on_ready = std::move(callback);
    return;
  }
  auto generation = ++last_generation_;
  control_epoll(EPOLL_CTL_ADD, fd, events, generation);
  watched_.emplace(fd, WatchedDescriptor{generation, std::move(callback)});
}

void EventLoop::set_events(int fd, uint32_t events) {
  auto found = watched_.find(fd);
  if (found != watched_.end()) {
    control_epoll(EPOLL_CTL_MOD, fd, events, found->second.generation);
  }
}

void EventLoop::unwatch(int fd) {
  if (watched_.erase(fd)) {
    ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr);
  }
}

void EventLoop::post(std::function<void()> function) {
  bool must_wake = false;
  {
    std::lock_guard lock(mutex_);
    posted_.push_back(std::move(function));
    bool from_other_thread = thread_.load() != std::this_thread::get_id();
    if (from_other_thread) {
      must_wake = !std::exchange(wake_pending_, true);
    }
  }
  if (must_wake) {
    wake();
  }
}

void EventLoop::wake() {
  uint64_t one = 1;
  [[maybe_unused]] auto written_bytes = ::write(wake_event_.get(), &one, sizeof one);
}

uint64_t EventLoop::run_after(Duration delay, std::function<void()> function) {
  auto timer = ++last_timer_;
  timer_heap_.push_back({monotonic_now() + std::max<Duration>(delay, 0ms), timer});
  std::push_heap(timer_heap_.begin(), timer_heap_.end());
  timers_.emplace(timer, std::move(function));
  return timer;
}

void EventLoop::cancel(uint64_t timer) {
  if (!timers_.erase(timer) || timer_heap_.size() < 2 * timers_.size() + kMaxExcessCancelledTimers) {
    return;
  }
  std::erase_if(timer_heap_, [&](const ScheduledTimer& scheduled) { return !timers_.contains(scheduled.timer); });
  std::make_heap(timer_heap_.begin(), timer_heap_.end());
}

uint64_t EventLoop::pop_timer() {
  auto timer = timer_heap_.front().timer;
  std::pop_heap(timer_heap_.begin(), timer_heap_.end());
  timer_heap_.pop_back();
  return timer;
}

int EventLoop::wait_timeout() {
  {
    std::lock_guard lock(mutex_);
    if (!posted_.empty()) {
      return 0;
    }
  }
  while (!timer_heap_.empty() && !timers_.contains(timer_heap_.front().timer)) {
    pop_timer();
  }
  if (timer_heap_.empty()) {
    return -1;
  }
  auto remaining = timer_heap_.front().due_at - monotonic_now();
  return static_cast<int>(std::clamp<Duration>(remaining, 0ms, kMaxWait).count());
}

void EventLoop::run_ready(int timeout) {
  std::array<epoll_event, kMaxEventsPerWait> events;
  auto count = ::epoll_wait(epoll_.get(), events.data(), static_cast<int>(events.size()), timeout);
  for (int index = 0; index < count; ++index) {
    const auto& event = events[static_cast<size_t>(index)];
    auto found = watched_.find(fd_of(event.data.u64));
    if (found == watched_.end() || found->second.generation != generation_of(event.data.u64)) {
      continue;
    }
    auto on_ready = found->second.on_ready;
    (*on_ready)(event.events);
  }
}

void EventLoop::run_posted() {
  std::vector<std::function<void()>> functions;
  {
    std::lock_guard lock(mutex_);
    functions.swap(posted_);
    wake_pending_ = false;
  }
  for (auto& function : functions) {
    function();
  }
}

void EventLoop::run_due_timers() {
  auto now = monotonic_now();
  std::vector<uint64_t> due;
  while (!timer_heap_.empty() && timer_heap_.front().due_at <= now) {
    due.push_back(pop_timer());
  }
  for (auto timer : due) {
    // A timer that ran earlier in this loop may have cancelled it.
    if (auto node = timers_.extract(timer)) {
      node.mapped()();
    }
  }
}

void EventLoop::run() {
  thread_ = std::this_thread::get_id();
  while (!stop_requested_) {
    run_ready(wait_timeout());
    run_posted();
    run_due_timers();
  }
  stop_requested_ = false;
  thread_ = std::thread::id{};
}

void EventLoop::stop() {
  stop_requested_ = true;
  post([] {});
}

}  // namespace mosskeel
