#pragma once
// The scenarios as functions; the table in scenarios.cpp assigns names and fleet sizes to them.
#include "simulation/day.hpp"

namespace mosskeel::sim {

// ordinary_scenarios.cpp: one kind of fault each.
void quiet(Day& day);
void lossy(Day& day);
void havoc(Day& day, const std::vector<Kind>& kinds, bool slow_disks);
void faults(Day& day);
void storm(Day& day);
void drains(Day& day);
void stores(Day& day);
void core(Day& day);
void rolling(Day& day);

// troubles.cpp: faults of whole zones and roles, cold replicas and overload.
void split(Day& day);
void zone_lost(Day& day);
void coreless(Day& day);
void gateways_lost(Day& day);
void cold(Day& day);
void rush(Day& day);
void slow_disks(Day& day);
void carousel(Day& day);
void many_helpers(Day& day);

// cores.cpp: the core is lost in part or whole.
void power_after_ack(Day& day);
void core_majority_lost(Day& day);
void rebuild(Day& day);
void survivor(Day& day);
void seeds_swapped(Day& day);

// cuts.cpp: the core is cut off from the fleet, or the gateways from all others.
void core_cut(Day& day);
void gateways_cut(Day& day);

// losses.cpp: stores are lost at critical moments.
void pair_wiped(Day& day);
void unreplaced(Day& day);
void leaving(Day& day);
void flapping(Day& day);
void large_histories(Day& day);

// retention.cpp: histories expire, or must not expire.
void retention(Day& day);
void idle_histories(Day& day);

// orders.cpp: operators send concurrent changes through the platform's interface.
void orders(Day& day);

// sizes.cpp: fleets as large as the deployments, and planned maintenance.
void successor(Day& day);
void planned(Day& day);
void deployment(Day& day, bool election);

}  // namespace mosskeel::sim
