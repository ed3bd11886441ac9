#include "gateway/memory_monitor.hpp"

namespace mosskeel {
namespace {

constexpr Duration kMemoryCheckInterval = 100ms;
/// Shares of the memory that the process may use.
constexpr double kThresholds[] = {0.5, 0.7, 0.85};
/// A threshold counts as left only this far below it.
constexpr double kHysteresis = 0.1;

}  // namespace

std::optional<MemoryUsage> MemoryMonitor::check(TimePoint now) {
  if (now < next_check_)
    return std::nullopt;
  next_check_ = now + kMemoryCheckInterval;
  auto usage = measure_();
  while (exceeded_ > 0 && !usage.exceeds(kThresholds[exceeded_ - 1] - kHysteresis))
    --exceeded_;
  auto exceeded_before = exceeded_;
  while (exceeded_ < std::size(kThresholds) && usage.exceeds(kThresholds[exceeded_]))
    ++exceeded_;
  return exceeded_ > exceeded_before ? std::optional(usage) : std::nullopt;
}

}  // namespace mosskeel
