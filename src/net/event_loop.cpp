#include "net/event_loop.hpp"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace mosskeel {

Millis monotonic_ms() {
  timespec t{};
  ::clock_gettime(CLOCK_MONOTONIC, &t);
  return Millis{t.tv_sec} * 1000 + t.tv_nsec / 1000000;
}

EventLoop::EventLoop() : epoll_(::epoll_create1(EPOLL_CLOEXEC)), wake_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  if (!epoll_ || !wake_)
    throw std::system_error(errno, std::generic_category(), "epoll");
  watch(wake_.get(), EPOLLIN, [this](uint32_t) {
    uint64_t n;
    [[maybe_unused]] auto r = ::read(wake_.get(), &n, sizeof n);
  });
}

void EventLoop::control(int op, int fd, uint32_t events, uint32_t generation) {
  epoll_event e{};
  e.events = events;
  e.data.u64 = uint64_t{generation} << 32 | static_cast<uint32_t>(fd);
  if (::epoll_ctl(epoll_.get(), op, fd, &e) < 0)
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
}

void EventLoop::watch(int fd, uint32_t events, ReadyCallback f) {
  auto ready = std::make_shared<ReadyCallback>(std::move(f));
  auto it = watched_.find(fd);
  if (it == watched_.end()) {
    control(EPOLL_CTL_ADD, fd, events, ++generation_);
    watched_.emplace(fd, Watched{generation_, std::move(ready)});
  } else {
    control(EPOLL_CTL_MOD, fd, events, it->second.generation);
    it->second.ready = std::move(ready);
  }
}

void EventLoop::watch(int fd, uint32_t events) {
  if (auto it = watched_.find(fd); it != watched_.end())
    control(EPOLL_CTL_MOD, fd, events, it->second.generation);
}

void EventLoop::unwatch(int fd) {
  if (watched_.erase(fd))
    ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr);
}

void EventLoop::post(std::function<void()> f) {
  bool wake = false;
  {
    std::lock_guard g(lock_);
    posted_.push_back(std::move(f));
    if (thread_.load() != std::this_thread::get_id())
      wake = !std::exchange(woken_, true);
  }
  uint64_t one = 1;
  if (wake) [[maybe_unused]]
    auto r = ::write(wake_.get(), &one, sizeof one);
}

uint64_t EventLoop::run_after(Millis ms, std::function<void()> f) {
  heap_.push_back({monotonic_ms() + std::max<Millis>(ms, 0), ++last_timer_});
  std::push_heap(heap_.begin(), heap_.end());
  timers_.emplace(last_timer_, std::move(f));
  return last_timer_;
}

void EventLoop::cancel(uint64_t timer) {
  if (!timers_.erase(timer) || heap_.size() < 2 * timers_.size() + 64)
    return;
  std::erase_if(heap_, [&](const Due& d) { return !timers_.contains(d.timer); });
  std::make_heap(heap_.begin(), heap_.end());
}

int EventLoop::patience() {
  {
    std::lock_guard g(lock_);
    if (!posted_.empty())
      return 0;
  }
  while (!heap_.empty() && !timers_.contains(heap_.front().timer)) {
    std::pop_heap(heap_.begin(), heap_.end());
    heap_.pop_back();
  }
  if (heap_.empty())
    return -1;
  return static_cast<int>(std::clamp<Millis>(heap_.front().at - monotonic_ms(), 0, 3600000));
}

void EventLoop::run_posted() {
  std::vector<std::function<void()>> now;
  {
    std::lock_guard g(lock_);
    now.swap(posted_);
    woken_ = false;
  }
  for (auto& f : now)
    f();
}

void EventLoop::run_due() {
  auto now = monotonic_ms();
  std::vector<uint64_t> due;
  while (!heap_.empty() && heap_.front().at <= now) {
    due.push_back(heap_.front().timer);
    std::pop_heap(heap_.begin(), heap_.end());
    heap_.pop_back();
  }
  for (auto timer : due) {
    auto node = timers_.extract(timer);
    if (node)
      node.mapped()();
  }
}

void EventLoop::run() {
  thread_ = std::this_thread::get_id();
  std::array<epoll_event, 256> events;
  while (!stopping_) {
    auto n = ::epoll_wait(epoll_.get(), events.data(), static_cast<int>(events.size()), patience());
    for (int i = 0; i < n; ++i) {
      auto it = watched_.find(static_cast<int>(events[i].data.u64 & 0xffffffff));
      if (it == watched_.end() || it->second.generation != events[i].data.u64 >> 32)
        continue;
      auto ready = it->second.ready;
      (*ready)(events[i].events);
    }
    run_posted();
    run_due();
  }
  stopping_ = false;
  thread_ = std::thread::id{};
}

void EventLoop::stop() {
  stopping_ = true;
  post([] {});
}

}  // namespace mosskeel
