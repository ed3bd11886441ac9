#include "net/deadline_timer.hpp"

namespace mosskeel {

void DeadlineTimer::set(Duration delay) {
  if (delay == 0ms) {
    clear();
    return;
  }
  deadline_ = monotonic_now() + delay;
  bool timer_is_early_enough = timer_ && timer_due_at_ <= *deadline_;
  if (timer_is_early_enough) {
    return;
  }
  if (timer_) {
    loop_.cancel(timer_);
  }
  start_timer(delay);
}

void DeadlineTimer::cancel() {
  deadline_.reset();
  if (timer_) {
    loop_.cancel(std::exchange(timer_, 0));
  }
}

void DeadlineTimer::start_timer(Duration delay) {
  timer_due_at_ = monotonic_now() + delay;
  timer_ = loop_.run_after(delay, [this] { on_timer(); });
}

void DeadlineTimer::on_timer() {
  timer_ = 0;
  if (!deadline_) {
    return;
  }
  auto remaining = *deadline_ - monotonic_now();
  if (remaining > 0ms) {
    start_timer(remaining);
    return;
  }
  deadline_.reset();
  // The callback may destroy this object, so it is run from a copy.
  auto on_expired = on_expired_;
  on_expired();
}

}  // namespace mosskeel
