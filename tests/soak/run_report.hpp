#pragma once
// What a run measured: latencies, memory and descriptors over time.
#include <map>
#include <string>
#include <vector>

#include "soak/fault_player.hpp"

namespace mosskeel::soak {

/// Collects the latencies of successful attempts by route, and samples of the fleet; prints them, and draws a plot.
class RunReport {
 public:
  explicit RunReport(const RunRecord& record) : record_(record) {}
  void on_attempt_over(const platform_stub::AttemptReport& report);
  /// Takes a sample of the fleet's memory and descriptors.
  void sample(Machines& machines);
  void print() const;
  /// Writes the fleet's memory over time as an SVG file; false where that is not possible.
  bool plot(const std::string& path) const;

 private:
  struct Sample {
    double seconds = 0;
    /// In the order of `kMachineClasses`.
    std::array<size_t, std::size(kMachineClasses)> resident_bytes{};
    std::array<size_t, std::size(kMachineClasses)> descriptors{};
  };
  const RunRecord& record_;
  std::map<std::string, std::vector<Duration>> latencies_;
  std::vector<Sample> samples_;
};

}  // namespace mosskeel::soak
