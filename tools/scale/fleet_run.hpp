#pragma once
// Real controllers, stores and gateways on this machine, beside hollow daemons over the daemons' own transport.
#include <fstream>

#include "local-cluster/fleet.hpp"
#include "scale/controller_client.hpp"
#include "scale/hollow_process.hpp"
#include "scale/report.hpp"

namespace mosskeel::scale {

constexpr int kRealStores = 3;
constexpr int kRealGateways = 2;
/// A fleet that is not calm by then has failed.
constexpr Duration kFleetCalmTimeout = 900000ms;
/// Between two polls of the fleet.
constexpr Duration kFleetPollInterval = 50ms;
/// For so long a fleet at rest is measured.
constexpr Duration kRestWindow = 20000ms;
/// For so long a region is cut off.
constexpr Duration kCutWindow = 20000ms;

/// Runs the whole fleet and writes the report; 0 if no invariant was broken, 2 if the fleet could not be started.
int run_fleet(const FleetOptions& options);

/// One run: the processes, the figures measured on them, and the invariants that were broken.
class FleetRun {
 public:
  explicit FleetRun(const FleetOptions& options);
  /// As `run_fleet`.
  int run();

 private:
  Errors start();

  // The steps of a run, in their order (fleet_run.cpp).
  void found_and_grow();
  void apply_first_configuration();
  void measure_at_rest(const std::string& step);
  void measure_changes();

  // What happens to a fleet in a year (fleet_faults.cpp).
  void add_new_gateway();
  void fail_zone();
  void restart_gateways();
  void cut_region();
  void check_values();

  void record(const std::string& step, const std::string& figure, double value);
  /// Records the quantiles of the times (ms) until a change was in force, and draws them.
  void record_distribution(const std::string& step, std::vector<double> durations);
  void fail(const std::string& reason);

  size_t all_daemons() const {
    return static_cast<size_t>(options_.plan.controllers) + static_cast<size_t>(options_.plan.daemons);
  }
  int hollow_daemons() const { return options_.plan.daemons - kRealStores - kRealGateways; }
  /// Whether so many daemons are up and nothing is under way.
  bool is_calm(size_t daemons);
  /// Waits until the fleet is calm, or fails; how long it took.
  Duration wait_until_calm(const std::string& step, size_t daemons);
  size_t count_up();
  /// Waits until every hollow daemon knows the epoch, or fails; the sorted times (ms) after `begun` when each did.
  std::vector<double> wait_until_known(Epoch epoch, TimePoint begun);
  CommitResult change_budget();
  double messages_sent_by_hollow_daemons();

  FleetOptions options_;
  local_cluster::Fleet real_fleet_;
  ControllerClient client_;
  std::vector<std::unique_ptr<HollowProcess>> hollow_processes_;
  std::ofstream csv_;
  std::ofstream text_;
  std::vector<Curve> curves_;
  /// The newest revision that was acknowledged.
  Revision acknowledged_revision_{};
  int broken_invariants_ = 0;
};

void sleep_for(Duration duration);

}  // namespace mosskeel::scale
