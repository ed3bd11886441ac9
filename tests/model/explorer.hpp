#pragma once
// Goes through the states that a start leads to: all orders of actions to a bounded depth, few deviations to a great
// depth, or long random walks.
#include <unordered_map>

#include "model/cluster.hpp"

namespace mosskeel::model {

struct Bounds {
  int depth = 10;
  /// How often a trace may do something else than what happens in a world without trouble; negative: always.
  int deviations = -1;
  /// Stops after so many states; 0: none.
  uint64_t states = 0;
  /// Stops after so many seconds of processor time; 0: none.
  double seconds = 0;
};

struct Report {
  uint64_t states = 0, steps = 0, runs = 0;
  /// The most orders that were acknowledged and rejected in one state.
  size_t acknowledged = 0, rejected = 0;
  /// Whether all within the bounds was seen.
  bool complete = true;
  /// The first broken invariant, empty while all hold, and the actions that led to it.
  std::string broken;
  Trace trace;
};

/// Visits all states within the bounds, depth first; each state once for each depth that is left.
Report explore(const Cluster& start, const Bounds& bounds);
/// Plays walks of this many steps from these seeds.
Report walk(const Cluster& start, uint64_t first_seed, uint64_t seeds, int steps, double seconds = 0);
/// The state after a trace, or nothing where an action of it is not possible.
std::optional<Cluster> replay(const Cluster& start, const Trace& trace);
/// The trace without the actions that the broken invariant does not need.
Trace shorten(const Cluster& start, Trace trace);

}  // namespace mosskeel::model
