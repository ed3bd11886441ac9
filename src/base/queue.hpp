#pragma once
// A queue between threads.
#include <condition_variable>
#include <deque>
#include <mutex>

#include "mosskeel/common.hpp"

namespace mosskeel {

template <class T>
class Queue {
 public:
  void push(T x) {
    std::lock_guard l(m_);
    q_.push_back(std::move(x));
    c_.notify_one();
  }
  /// Everything that is there; waits up to `wait` for the first.
  std::deque<T> take(Millis wait) {
    std::unique_lock l(m_);
    c_.wait_for(l, std::chrono::milliseconds(wait), [&] { return !q_.empty() || closed_; });
    return std::exchange(q_, {});
  }
  std::optional<T> pop(Millis wait) {
    std::unique_lock l(m_);
    c_.wait_for(l, std::chrono::milliseconds(wait), [&] { return !q_.empty() || closed_; });
    if (q_.empty())
      return std::nullopt;
    T x = std::move(q_.front());
    q_.pop_front();
    return x;
  }
  void close() {
    std::lock_guard l(m_);
    closed_ = true;
    c_.notify_all();
  }
  bool closed() const {
    std::lock_guard l(m_);
    return closed_;
  }

 private:
  mutable std::mutex m_;
  std::condition_variable c_;
  std::deque<T> q_;
  bool closed_ = false;
};

}  // namespace mosskeel
