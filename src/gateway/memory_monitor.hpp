#pragma once
// Notices that a process comes close to the memory that it may use.
#include <optional>

#include "base/memory.hpp"
#include "mosskeel/common.hpp"

namespace mosskeel {

/// Measures the process's memory at intervals and reports each rise above a threshold once; it reports the same
/// threshold again only after the use has been clearly below it. Used on one thread.
class MemoryMonitor {
 public:
  /// Returns the bytes that the process uses and may use.
  using Measure = std::function<MemoryUsage()>;
  explicit MemoryMonitor(Measure measure) : measure_(std::move(measure)) {}
  /// Measures if the last measurement is old enough.
  /// @return the usage, if it has risen above a further threshold.
  std::optional<MemoryUsage> check(TimePoint now);

 private:
  Measure measure_;
  TimePoint next_check_{};
  /// Number of thresholds that are reported as exceeded.
  size_t exceeded_ = 0;
};

}  // namespace mosskeel
