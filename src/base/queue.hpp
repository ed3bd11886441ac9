#pragma once
// A queue between threads.
#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>

#include "mosskeel/common.hpp"

namespace mosskeel {

/// Unbounded first-in-first-out queue. All methods may be called from any thread.
template <class T>
class Queue {
 public:
  /// @return false where the queue is closed; the item is dropped.
  bool push(T item) {
    std::lock_guard lock(mutex_);
    if (closed_)
      return false;
    items_.push_back(std::move(item));
    changed_.notify_one();
    return true;
  }

  /// Everything that is there; waits up to `timeout` for the first item. Empty after a time-out or once closed.
  std::deque<T> take(Duration timeout) {
    std::unique_lock lock(mutex_);
    wait_for_item(lock, timeout);
    return std::exchange(items_, {});
  }

  /// The first item; waits up to `timeout` for it. Nothing after a time-out or once closed and empty.
  std::optional<T> pop(Duration timeout) {
    std::unique_lock lock(mutex_);
    wait_for_item(lock, timeout);
    if (items_.empty())
      return std::nullopt;
    T item = std::move(items_.front());
    items_.pop_front();
    return item;
  }

  /// Wakes all who wait. What is in the queue can still be taken; nothing more is added.
  void close() {
    std::lock_guard lock(mutex_);
    closed_ = true;
    changed_.notify_all();
  }

  bool closed() const {
    std::lock_guard lock(mutex_);
    return closed_;
  }

 private:
  void wait_for_item(std::unique_lock<std::mutex>& lock, Duration timeout) {
    changed_.wait_for(lock, timeout, [this] { return !items_.empty() || closed_; });
  }

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  /// Guarded by `mutex_`, as is `closed_`.
  std::deque<T> items_;
  bool closed_ = false;
};

}  // namespace mosskeel
