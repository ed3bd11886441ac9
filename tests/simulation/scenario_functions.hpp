#pragma once
// The scenarios as functions; the table in scenarios.cpp assigns names and fleet sizes to them.
#include "simulation/scenario_run.hpp"

namespace mosskeel::sim {

// ordinary_scenarios.cpp: one kind of fault each.
void quiet(ScenarioRun& run);
void lossy(ScenarioRun& run);
void havoc(ScenarioRun& run, const std::vector<Kind>& kinds, bool slow_disks);
void faults(ScenarioRun& run);
void storm(ScenarioRun& run);
void drains(ScenarioRun& run);
void stores(ScenarioRun& run);
void core(ScenarioRun& run);
void rolling(ScenarioRun& run);

// troubles.cpp: faults of whole zones and roles, cold replicas and overload.
void split(ScenarioRun& run);
void zone_lost(ScenarioRun& run);
void coreless(ScenarioRun& run);
void gateways_lost(ScenarioRun& run);
void cold(ScenarioRun& run);
void rush(ScenarioRun& run);
void slow_disks(ScenarioRun& run);
void carousel(ScenarioRun& run);
void many_helpers(ScenarioRun& run);

// cores.cpp: the core is lost in part or whole.
void power_after_ack(ScenarioRun& run);
void core_majority_lost(ScenarioRun& run);
void rebuild(ScenarioRun& run);
void survivor(ScenarioRun& run);
void seeds_swapped(ScenarioRun& run);

// cuts.cpp: the core is cut off from the fleet, or the gateways from all others.
void core_cut(ScenarioRun& run);
void gateways_cut(ScenarioRun& run);

// losses.cpp: stores are lost at critical moments.
void pair_wiped(ScenarioRun& run);
void unreplaced(ScenarioRun& run);
void leaving(ScenarioRun& run);
void flapping(ScenarioRun& run);
void large_histories(ScenarioRun& run);

// retention.cpp: histories expire, or must not expire.
void retention(ScenarioRun& run);
void idle_histories(ScenarioRun& run);

// orders.cpp: operators send concurrent changes through the platform's interface.
void orders(ScenarioRun& run);

// sizes.cpp: fleets as large as the deployments, and planned maintenance.
void successor(ScenarioRun& run);
void planned(ScenarioRun& run);
void deployment(ScenarioRun& run, bool election);

}  // namespace mosskeel::sim
