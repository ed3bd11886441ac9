// The table of scenarios and the code that runs one.
#include "simulation/scenarios.hpp"

#include "simulation/scenario_functions.hpp"

namespace mosskeel::sim {
namespace {

/// Token budgets of a program, from enough for any program to hardly enough for one with sub-agents.
constexpr uint64_t kAmpleBudget = 400;
constexpr uint64_t kFaultsBudget = 40;
constexpr uint64_t kTightBudget = 30;
constexpr uint64_t kTinyBudget = 12;

struct Scenario {
  const char* name;
  FleetSize size;
  uint64_t budget;
  std::function<void(ScenarioRun&)> run;
};

/// The usual fleet, with this many machines of some roles.
FleetSize usual(int controllers = 3, int gateways = 3, int models = 4) {
  return {.controllers = controllers, .gateways = gateways, .models = models};
}

FleetSize five_stores() {
  return {.stores = 5};
}

/// A fleet that tolerates the loss of two machines at once.
FleetSize two_losses() {
  return {.controllers = 5, .stores = 7, .gateways = 4, .tolerated = 2};
}

FleetSize kjortala_fleet() {
  return {.controllers = 5, .gateways = 6, .models = 18, .apps = 8};
}

FleetSize catania_fleet() {
  return {.gateways = 6, .models = 9};
}

std::function<void(ScenarioRun&)> havoc_among(std::vector<Kind> kinds, bool slow_disks) {
  return [kinds = std::move(kinds), slow_disks](ScenarioRun& run) {
    havoc(run, kinds, slow_disks);
  };
}

std::function<void(ScenarioRun&)> deployment_of(bool election) {
  return [election](ScenarioRun& run) {
    deployment(run, election);
  };
}

const std::vector<Scenario>& table() {
  static const std::vector<Scenario> all{
      {"quiet", usual(), kAmpleBudget, quiet},
      {"lossy", usual(), kAmpleBudget, lossy},
      {"budget", usual(), kTinyBudget, lossy},
      {"fronts", usual(3, 4), kAmpleBudget, havoc_among({Kind::gateway, Kind::agent}, false)},
      {"store-havoc", usual(), kTightBudget, havoc_among({Kind::store}, true)},
      {"controllers", usual(5), kAmpleBudget, havoc_among({Kind::controller}, true)},
      {"havoc", usual(), kTightBudget, havoc_among({std::begin(kAllKinds), std::end(kAllKinds)}, true)},
      {"faults", usual(3, 3, 6), kFaultsBudget, faults},
      {"storm", usual(), kAmpleBudget, storm},
      {"drains", usual(3, 3, 6), kAmpleBudget, drains},
      {"stores", usual(), kAmpleBudget, stores},
      {"core", usual(), kAmpleBudget, core},
      {"rolling", usual(), kAmpleBudget, rolling},
      {"planned", usual(3, 4, 6), kAmpleBudget, planned},
      {"successor", usual(), kAmpleBudget, successor},
      {"split", usual(5), kAmpleBudget, split},
      {"zone", usual(3, 6, 6), kAmpleBudget, zone_lost},
      {"coreless", usual(), kAmpleBudget, coreless},
      {"cold", usual(3, 4, 6), kAmpleBudget, cold},
      {"rush", usual(), kAmpleBudget, rush},
      {"powerack", usual(), kAmpleBudget, power_after_ack},
      {"lostcore", usual(), kAmpleBudget, core_majority_lost},
      {"rebuild", usual(), kAmpleBudget, rebuild},
      {"seeds", usual(5), kAmpleBudget, seeds_swapped},
      {"slow", usual(3, 4), kAmpleBudget, slow_disks},
      {"carousel", usual(), kAmpleBudget, carousel},
      {"corecut", usual(3, 4, 6), kAmpleBudget, core_cut},
      {"retention", usual(), kAmpleBudget, retention},
      {"idle", usual(), kAmpleBudget, idle_histories},
      {"survivor", usual(), kAmpleBudget, survivor},
      {"survivor5", usual(5), kAmpleBudget, survivor},
      {"kjortala", kjortala_fleet(), kAmpleBudget, deployment_of(true)},
      {"catania", catania_fleet(), kAmpleBudget, deployment_of(false)},
      {"helpers", usual(), kTinyBudget, many_helpers},
      {"orders", usual(), kAmpleBudget, orders},
      {"orders5", usual(5), kAmpleBudget, orders},
      {"quietpair", two_losses(), kAmpleBudget, quiet},
      {"pairwipe", two_losses(), kAmpleBudget, pair_wiped},
      {"unreplaced", two_losses(), kAmpleBudget, unreplaced},
      {"leaving", five_stores(), kAmpleBudget, leaving},
      {"flapping", five_stores(), kAmpleBudget, flapping},
      {"large-histories", usual(), kAmpleBudget, large_histories},
      {"gateways-lost", usual(3, 9, 6), kAmpleBudget, gateways_lost},
      {"gateways-cut", usual(3, 9, 6), kAmpleBudget, gateways_cut},
  };
  return all;
}

ScenarioResult run_seed(const Scenario& scenario, uint64_t seed, bool notes) {
  ScenarioRun run(seed, scenario.size, scenario.budget);
  auto& world = run.world;
  world.keep_notes = notes;
  if (run.callers.initialize_fleet()) {
    scenario.run(run);
    if (!run.closed)
      run.close();
  } else {
    world.fail("the fleet did not become ready");
  }
  // The callers are destroyed before the world, so their callbacks are removed first.
  world.local = nullptr;
  world.died = nullptr;
  const auto& totals = run.callers.totals;
  return {.failures = world.failures,
          .notes = world.notes,
          .successes = totals.successes,
          .refusals = totals.refusals,
          .unknowns = totals.unknowns,
          .resumed = totals.resumed,
          .messages = world.messages,
          .syncs = world.syncs,
          .reasons = totals.reasons,
          .repair_times = run.repair_times};
}

}  // namespace

std::vector<std::string> scenario_names() {
  std::vector<std::string> names;
  names.reserve(table().size());
  for (const auto& scenario : table())
    names.emplace_back(scenario.name);
  return names;
}

ScenarioResult run_scenario(const std::string& scenario, uint64_t seed, bool notes) {
  for (const auto& candidate : table())
    if (candidate.name == scenario)
      return run_seed(candidate, seed, notes);
  ScenarioResult result;
  result.failures.push_back("no scenario " + scenario);
  return result;
}

}  // namespace mosskeel::sim
