#pragma once
// One simulated run of a scenario and helpers shared by the scenarios.
#include "simulation/callers.hpp"

namespace mosskeel::sim {

/// A simulated run: a world, its callers and the final checks.
struct ScenarioRun {
  World world;
  Callers callers;
  /// The scenario did its own final checks, since more was lost than histories are guaranteed to survive.
  bool closed = false;
  /// For each loss of stores: time from the start of their successors until partitions were fully replicated again.
  std::vector<Duration> repair_times;

  ScenarioRun(uint64_t seed, FleetSize size, uint64_t budget);
  /// A random daemon of this kind, whether it runs or not.
  std::string any(Kind kind);
  /// A random store other than the excluded one.
  std::string any_store_except(const std::string& excluded);
  /// Ends all faults, then checks that the fleet serves within 12 s, that programs can be read back, and all
  /// invariants.
  void close();

 private:
  struct ClosingTurns {
    bool served = false, over = false;
  };
  void recover_everything();
  void start_turns_until_served(const std::shared_ptr<ClosingTurns>& turns);
};

/// Lets this much time pass during a fault and checks that some turns succeed meanwhile.
void must_serve(ScenarioRun& run, Duration time, const char* during);
/// Commits a configuration change; returns its revision, or 0 if it was not acknowledged.
uint64_t change_configuration(ScenarioRun& run, Duration timeout);
/// Checks that the revision is in force at all running gateways within this time.
void must_be_in_force(ScenarioRun& run, uint64_t revision, Duration within);
/// Whether no sequence of steps, such as a join or a drain, is in progress.
bool has_no_sequences(World& world);
/// Restarts the gateways one after the other.
void restart_gateways(World& world);
void power_off_all(World& world, const std::vector<std::string>& names);
void start_all(World& world, const std::vector<std::string>& names);
/// All daemons in a zone.
std::vector<std::string> names_in_zone(World& world, const std::string& zone);
/// Sends a request and waits for its response; status 0 if the session is lost or the limit passes.
ProgramResponse send_request(ScenarioRun& run, ProgramRequest request, const std::string& gateway);

}  // namespace mosskeel::sim
