#pragma once
// The clock by which a store measures retention.
#include "mosskeel/time.hpp"

namespace mosskeel {

/// Counts how long this store has been running, summed over all its process lifetimes. Downtime does not count, and a
/// restart falls back to the uptime in the last checkpoint, so that errors can only lengthen the retention of
/// histories, never shorten it.
class UptimeClock {
 public:
  explicit UptimeClock(TimePoint now) : started_at_(now), now_(now) {}

  /// Sets the uptime of earlier process lifetimes, as read from the last checkpoint.
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
