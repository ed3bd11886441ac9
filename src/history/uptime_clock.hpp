#pragma once
// The time by which a store measures retention.
#include "mosskeel/time.hpp"

namespace mosskeel {

/// Counts for how long this store has been running, over all its starts. Downtime does not count, and a
/// restart falls back to the uptime in the last checkpoint: every error lengthens the retention of histories, none
/// shortens it.
class UptimeClock {
 public:
  explicit UptimeClock(TimePoint now) : started_at_(now), now_(now) {}

  /// Takes over the uptime of earlier starts, as the last checkpoint has it.
  void restore(Duration earlier_uptime) { earlier_uptime_ = earlier_uptime; }
  void advance_to(TimePoint now) { now_ = now; }
  Duration uptime() const { return earlier_uptime_ + (now_ - started_at_); }

 private:
  /// On the state machine's clock.
  TimePoint started_at_{};
  TimePoint now_{};
  Duration earlier_uptime_{};
};

}  // namespace mosskeel
