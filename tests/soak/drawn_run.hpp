#pragma once
// A run whose traffic and disturbances are drawn from a seed.
#include "soak/large_program.hpp"
#include "soak/run_report.hpp"

namespace mosskeel::soak {

/// What a drawn run is to be like.
struct DrawnRunOptions {
  uint64_t seed = 1;
  /// From the first request to the last disturbance.
  Duration duration = 60000ms;
  /// The kinds of disturbances; empty for all.
  std::set<FaultKind> only;
  /// Traffic in multiples of the usual.
  int load = 1;
  /// Routes that are added to the configuration before the first request; 2,800 make 0.8 MB.
  int routes = 0;
};

/// Traffic of all kinds, on fresh and on kept connections, goes on through drawn disturbances. Afterwards, once
/// everything is back, everything that was acknowledged must still be there, and everything is served again.
class DrawnRun {
 public:
  DrawnRun(FleetUnderTest& fleet, RunRecord& record, RunReport& report, DrawnRunOptions options);
  /// Plays the run on a fleet that is ready; what is broken is told to the checker of its environment.
  void play();

 private:
  void begin_traffic(MonotonicTime end);
  void begin_kept_connections(MonotonicTime end);
  void begin_programs(MonotonicTime end);
  void send_on_kept_connection();
  void grow_configuration();
  void build_large_programs();
  void check_recovered();

  FleetUnderTest& fleet_;
  RunRecord& record_;
  RunReport& report_;
  const DrawnRunOptions options_;
  FaultPlayer faults_;
  std::vector<std::unique_ptr<LargeProgram>> large_programs_;
};

}  // namespace mosskeel::soak
