#pragma once
// Seeded days in the life of a fleet, each with its own troubles.
#include "simulation/callers.hpp"

namespace mosskeel::sim {

/// What came of one day.
struct Verdict {
  /// Broken promises, and what happened if notes were asked for.
  std::vector<std::string> failures, notes;
  uint64_t successes = 0, refusals = 0, unknowns = 0, resumed = 0, messages = 0, syncs = 0;
  /// Why answers were not known, by reason.
  std::map<std::string, uint64_t> reasons;
  /// As in `Day`.
  std::vector<Duration> exposed;
};

/// The names of all scenarios.
std::vector<std::string> scenarios();
/// Plays a day; the same scenario and seed always play the same day.
Verdict play(const std::string& scenario, uint64_t seed, bool notes = false);

}  // namespace mosskeel::sim
