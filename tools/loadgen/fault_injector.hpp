#pragma once
// Kills, freezes and restarts processes of a local cluster while the load runs.
#include <atomic>
#include <random>
#include <thread>

#include "load_report.hpp"
#include "plan.hpp"

namespace mosskeel::loadgen {

/// Does harm on a thread of its own; at its end all that it broke runs again.
class FaultInjector {
 public:
  FaultInjector(const Plan& plan, LoadReport& report);
  ~FaultInjector();

 private:
  void work();
  void inject(const std::string& target);
  bool act(const std::string& action, const std::string& name);
  std::vector<std::string> targets();
  /// Returns early when the injector is to stop.
  void wait(Duration duration);
  Duration random_wait(Duration least, Duration range);

  const Plan& plan_;
  LoadReport& report_;
  std::mt19937_64 random_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

}  // namespace mosskeel::loadgen
