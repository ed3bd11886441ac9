#pragma once
// A thread-safe queue.
#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>

#include "mosskeel/common.hpp"

namespace mosskeel {

/// Unbounded FIFO queue. Thread-safe.
template <class T>
class Queue {
 public:
  /// @return false if the queue is closed; the item is dropped.
  bool push(T item) {
    std::lock_guard lock(mutex_);
    if (closed_)
      return false;
    items_.push_back(std::move(item));
    changed_.notify_one();
    return true;
  }

  /// Takes all items, waiting up to `timeout` for the first one. Returns none after a timeout or if the queue is closed
  /// and empty.
  std::deque<T> take(Duration timeout) {
    std::unique_lock lock(mutex_);
    wait_for_item(lock, timeout);
    return std::exchange(items_, {});
  }

  /// Takes the first item, waiting up to `timeout` for it. Returns nullopt after a timeout or if the queue is closed
  /// and empty.
  std::optional<T> pop(Duration timeout) {
    std::unique_lock lock(mutex_);
    wait_for_item(lock, timeout);
    if (items_.empty())
      return std::nullopt;
    T item = std::move(items_.front());
    items_.pop_front();
    return item;
  }

  /// Wakes all waiting threads and rejects further items. Items already queued can still be taken.
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
  /// Guarded by `mutex_`, like `closed_`.
  std::deque<T> items_;
  bool closed_ = false;
};

}  // namespace mosskeel
