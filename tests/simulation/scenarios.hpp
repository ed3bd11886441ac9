#pragma once
// Deterministic fleet simulations: a scenario and a seed give a run with injected faults.
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "mosskeel/time.hpp"

namespace mosskeel::sim {

/// The result of one run.
struct ScenarioResult {
  /// Violations, and the trace of the run if notes were requested.
  std::vector<std::string> failures, notes;
  uint64_t successes = 0, refusals = 0, unknowns = 0, resumed = 0, messages = 0, syncs = 0;
  /// Number of unknown outcomes by reason.
  std::map<std::string, uint64_t> reasons;
  /// As in `ScenarioRun`.
  std::vector<Duration> repair_times;
};

/// The names of all scenarios.
std::vector<std::string> scenario_names();
/// Runs a scenario; the same scenario and seed always give the same run.
ScenarioResult run_scenario(const std::string& scenario, uint64_t seed, bool notes = false);

}  // namespace mosskeel::sim
