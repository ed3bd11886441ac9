#pragma once
// One simulated day: a world, its callers, and the closing check.
#include "simulation/scenarios.hpp"

namespace mosskeel::sim {

struct Day {
  World w;
  Callers c;
  /// The day judged itself: more was lost than histories are promised to survive.
  bool closed = false;
  /// For each loss of stores: how long after their successors' start partitions still lay on too few stores.
  std::vector<Duration> exposed;
  Day(uint64_t seed, Size z, uint64_t budget) : w(seed, z), c(w, z.models, z.apps, budget, 10) {}
  std::string any(Kind k) {
    auto v = w.names(k);
    return v[w.next_random() % v.size()];
  }
  /// Everything healed: we serve within 12 s, old conversations are resumed, every promise is checked.
  void close();
};

/// Serving must go on between two moments of a trouble.
void must_serve(Day& d, Duration ms, const char* during);
/// The newest value that any living controller holds.
MetadataSnapshot latest(World& w);
/// One acknowledged change of the configuration; its revision, or 0.
uint64_t change(Day& d, Duration patience);
void in_force(Day& d, uint64_t revision, Duration within);

void split(Day& d);
void zone_lost(Day& d);
void coreless(Day& d);
void cold(Day& d);
void rush(Day& d);
void power_after_ack(Day& d);
void core_majority_lost(Day& d);
void rebuild(Day& d);
void seeds_swapped(Day& d);
void slow_disks(Day& d);
void many_helpers(Day& d);
void carousel(Day& d);
void core_cut(Day& d);
void retention(Day& d);
void idle_histories(Day& d);
void survivor(Day& d);
void planned(Day& d);
void orders(Day& d);
void successor(Day& d);
void pair_wiped(Day& d);
void unreplaced(Day& d);
void leaving(Day& d);
void flapping(Day& d);
void deployment(Day& d, bool election);

/// One request from its asking to its end; a session that is lost gives status 0.
ProgramResponse ask(Day& d, ProgramRequest e, const std::string& front);

}  // namespace mosskeel::sim
