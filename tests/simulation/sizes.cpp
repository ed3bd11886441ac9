// Scenarios at the sizes of the deployments: two faults under load, then a persistent fault; and planned maintenance.
#include <algorithm>

#include "metadata/constants.hpp"
#include "simulation/scenario_functions.hpp"

namespace mosskeel::sim {
namespace {

/// Faults and closing faults are selected by number; docs/proof.md lists them.
constexpr uint64_t kFaultKinds = 9;
constexpr uint64_t kClosingFaults = 7;

void overload_replicas(ScenarioRun& run) {
  run.callers.settings.urgent_share = 15;
  run.callers.traffic(6ms, run.world.now() + 4000ms);
  run.world.run(6000ms);
}

void replace_replicas_one_by_one(ScenarioRun& run) {
  for (int number = 1; number <= 4; ++number) {
    auto name = "model" + std::to_string(number);
    run.callers.set_replica(name, ReplicaHealth::draining);
    run.world.run(1800ms);
    run.callers.set_replica(name, ReplicaHealth::warming_up);
    run.world.run(700ms);
  }
}

void lose_gateway_for_a_while(ScenarioRun& run) {
  auto gateway = run.any(Kind::gateway);
  run.world.kill(gateway);
  run.world.run(4000ms);
  run.world.start(gateway);
  run.world.run(4000ms);
}

void lose_store_disk(ScenarioRun& run) {
  auto store = run.any(Kind::store);
  run.world.wipe(store);
  run.world.run(2000ms);
  run.world.start(store);
  run.world.run(12000ms);
}

void lose_zone_for_a_while(World& world) {
  auto names = names_in_zone(world, world.any_zone());
  power_off_all(world, names);
  world.run(8000ms);
  start_all(world, names);
  world.run(8000ms);
}

/// Replaces a lost controller by an empty one at a new address.
void replace_controller(ScenarioRun& run) {
  auto& world = run.world;
  auto lost = run.any(Kind::controller);
  world.wipe(lost);
  world.add("controller9", Kind::controller, world.node(lost).id.self.zone);
  world.run(14000ms);
}

void add_machines(World& world) {
  world.add("store9", Kind::store, "a");
  world.add("agent9", Kind::agent, "b", "gateway9");
  world.add("gateway9", Kind::gateway, "b", "agent9");
  world.run(8000ms);
}

/// The seeds are swapped for other controllers, two of which do not exist, and the agents restart.
void swap_seeds(World& world) {
  world.seeds = {world.names(Kind::controller).back(), "controller77", "controller78"};
  for (const auto& name : world.names(Kind::agent)) {
    world.kill(name);
    world.run(300ms);
    world.start(name);
    world.run(900ms);
  }
}

/// Two operators commit different changes on each revision.
void race_operators(ScenarioRun& run) {
  constexpr int rounds = 20;
  for (int round = 0; round < rounds; ++round) {
    auto metadata = latest(run.world);
    auto changed = metadata->configuration;
    changed.cells[0].retention_ms += 1 + round;
    for (int i = 0; i < 2; ++i)
      run.callers.commit(ApplyConfiguration{metadata->revision, changed}, [](const CommitReply&) {});
    run.world.run(150ms);
  }
}

/// Injects one kind of fault; its effects may continue after the call.
void inject_fault(ScenarioRun& run, uint64_t number) {
  switch (number % kFaultKinds) {
    case 0:
      return overload_replicas(run);
    case 1:
      return replace_replicas_one_by_one(run);
    case 2:
      return lose_gateway_for_a_while(run);
    case 3:
      return lose_store_disk(run);
    case 4:
      return lose_zone_for_a_while(run.world);
    case 5:
      return replace_controller(run);
    case 6:
      return add_machines(run.world);
    case 7:
      return swap_seeds(run.world);
    default:
      return race_operators(run);
  }
}

/// A gateway and its agent.
std::vector<std::string> any_gateway_machine(ScenarioRun& run) {
  auto gateway = run.any(Kind::gateway);
  return {gateway, run.world.node(gateway).beside};
}

void freeze_core_majority(World& world) {
  auto names = world.names(Kind::controller);
  for (size_t i = 0; i < majority_of(names.size()); ++i)
    world.freeze(names[i]);
}

void cut_off_zone(World& world) {
  auto inside = names_in_zone(world, world.any_zone());
  for (const auto& outside : world.all_names()) {
    if (std::count(inside.begin(), inside.end(), outside))
      continue;
    for (const auto& name : inside) {
      world.cut(name, outside);
      world.cut(outside, name);
    }
  }
}

/// Injects a fault that persists until the final recovery; returns its description for the report.
const char* inject_closing_fault(ScenarioRun& run, uint64_t number) {
  auto& world = run.world;
  switch (number % kClosingFaults) {
    case 0:
      for (const auto& name : any_gateway_machine(run))
        world.kill(name);
      return "a gateway killed";
    case 1:
      for (const auto& name : any_gateway_machine(run))
        world.freeze(name);
      return "a gateway frozen";
    case 2:
      world.power_off(run.any(Kind::store));
      return "a store lost";
    case 3:
      world.wipe(run.any(Kind::controller));
      return "a core machine lost";
    case 4:
      freeze_core_majority(world);
      return "a core majority frozen";
    case 5:
      power_off_all(world, names_in_zone(world, world.any_zone()));
      return "a zone lost";
    default:
      cut_off_zone(world);
      return "a zone cut off";
  }
}

/// A new program for each partition, and a sample of the programs that were served before.
std::vector<std::string> programs_to_resume(ScenarioRun& run) {
  constexpr size_t max_old_programs = 120;
  std::vector<std::string> names;
  std::set<PartitionId> covered;
  for (int i = 0; covered.size() < kPartitionCount; ++i) {
    auto name = "after" + std::to_string(i);
    if (covered.insert(partition_of("news", name)).second)
      names.push_back(name);
  }
  auto old = run.callers.programs();
  for (size_t i = 0; i < old.size() && i < max_old_programs; ++i)
    names.push_back(old[run.world.next_random() % old.size()]);
  return names;
}

/// Number of turns of each program that are not yet served.
using OpenTurns = std::map<std::string, int>;

/// Starts a turn of each program. A program whose budget is spent counts as served, too.
std::shared_ptr<OpenTurns> start_turns(ScenarioRun& run, const std::vector<std::string>& programs) {
  constexpr uint32_t budget_spent = 429;
  auto open = std::make_shared<OpenTurns>();
  for (const auto& program : programs) {
    ++(*open)[program];
    auto begin = run.world.now() + run.world.below(1500ms);
    run.world.at(begin, [&run, program, open] {
      run.callers.turn(program, "closing", [program, open](const Turn& turn) {
        if (turn.success || turn.status == budget_spent)
          --(*open)[program];
      });
    });
  }
  return open;
}

std::string list_open(const OpenTurns& open) {
  constexpr size_t max_characters = 60;
  std::string list;
  for (const auto& [program, turns] : open)
    if (turns > 0 && list.size() < max_characters)
      list += " " + program;
  return list;
}

/// 12 s after a persistent fault, a new program on every partition and continued old programs must be served.
void must_resume(ScenarioRun& run, const char* fault) {
  auto& world = run.world;
  auto programs = programs_to_resume(run);
  auto open = start_turns(run, programs);
  auto count_open = [open] {
    return std::count_if(open->begin(), open->end(), [](const auto& entry) { return entry.second > 0; });
  };
  if (world.until(6000ms, [&] { return count_open() == 0; }))
    return;
  world.fail(std::to_string(count_open()) + " of " + std::to_string(programs.size()) +
             " programs not served 12 s after " + fault + ":" + list_open(*open));
}

/// Commits a change and checks that it is acknowledged.
void must_commit(ScenarioRun& run, Transformation change, const char* what) {
  auto committed = std::make_shared<bool>(false);
  run.callers.commit(std::move(change),
                     [committed](const CommitReply& reply) { *committed = reply.outcome == CommitOutcome::committed; });
  if (!run.world.until(10000ms, [committed] { return *committed; }))
    run.world.fail(std::string(what) + " was not acknowledged");
  run.world.run(500ms);
}

/// Whether no daemon is down or only registered, and no sequence is in progress.
bool is_stable(World& world) {
  auto metadata = latest(world);
  if (!metadata || !metadata->sequences.empty())
    return false;
  return std::none_of(metadata->directory.begin(), metadata->directory.end(), [](const auto& entry) {
    auto state = entry.second.state;
    return state == DaemonState::down || state == DaemonState::registered;
  });
}

void must_be_stable(World& world, const char* after) {
  if (!world.until(15000ms, [&] { return is_stable(world); }))
    world.fail(std::string("the fleet is not stable after ") + after);
}

void restart_in_order(World& world) {
  for (auto kind : {Kind::controller, Kind::store, Kind::agent}) {
    for (const auto& name : world.names(kind)) {
      world.stop(name);
      world.run(300ms + world.below(400ms));
      world.start(name);
      world.run(1500ms);
      must_be_stable(world, "a restart");
    }
  }
}

/// A store is added, and another one drained and stopped.
void replace_store_in_order(ScenarioRun& run) {
  auto& world = run.world;
  world.add("store9", Kind::store, "a");
  world.run(3000ms);
  must_be_stable(world, "a store was added");
  must_commit(run, PrepareDrain{latest(world)->find_at("store1")->id}, "the retirement");
  if (!world.until(15000ms, [&] { return has_no_sequences(world); }))
    world.fail("the retirement did not end");
  world.run(1000ms);
  world.stop("store1");
}

void evacuate_and_restore(ScenarioRun& run) {
  must_commit(run, EvacuateZone{"b"}, "the evacuation");
  run.world.run(3000ms);
  must_commit(run, RestoreZone{"b"}, "the restoration");
  run.world.run(2000ms);
}

bool uses_store(const Metadata& metadata, DaemonId store) {
  return std::any_of(metadata.partitions.begin(), metadata.partitions.end(), [&](const auto& partition) {
    return std::count(partition.stores.begin(), partition.stores.end(), store) > 0;
  });
}

}  // namespace

/// A store is replaced by an empty one at another address, which joins before the lost one is marked down; later
/// another one loses its disk. No partition may be left with the lost store in its set, so that the second loss is
/// tolerated.
void successor(ScenarioRun& run) {
  auto& world = run.world;
  run.callers.traffic(50ms, world.now() + 40000ms);
  world.run(3000ms + world.below(1000ms));
  auto lost = latest(world)->find_at("store1")->id;
  world.power_off("store1");
  world.run(300ms + world.below(1000ms));
  world.add("store9", Kind::store, "a");
  auto is_replaced = [&] {
    auto metadata = latest(world);
    return metadata->sequences.empty() && !uses_store(*metadata, lost);
  };
  if (!world.until(12000ms, is_replaced))
    world.fail("partitions still list a lost store");
  world.run(1000ms);
  world.wipe("store2");
  world.run(1000ms);
  world.start("store2");
  world.run(9000ms);
  if (!has_no_sequences(world))
    world.fail("the wiped store's join does not end");
}

/// Every kind of planned maintenance under load, one after the other: no outcome may be unknown.
void planned(ScenarioRun& run) {
  auto& world = run.world;
  run.callers.traffic(50ms, world.now() + 75000ms);
  restart_in_order(world);
  replace_store_in_order(run);
  evacuate_and_restore(run);
  auto metadata = latest(world);
  auto from = metadata->find_at("gateway1")->id;
  auto to = metadata->find_at("gateway3")->id;
  must_commit(run, MoveAllPartitions{from, to}, "moving partitions");
  if (!change_configuration(run, 10000ms))
    world.fail("a configuration was not acknowledged");
  world.run(3000ms);
  const auto& totals = run.callers.totals;
  auto lost = totals.unknowns + totals.unknown_counts;
  if (!lost)
    return;
  world.fail(std::to_string(lost) + " answers were lost in planned work");
  for (const auto& [reason, count] : totals.reasons)
    world.fail(std::to_string(count) + " times: " + reason);
}

/// Two faults under a deployment's load, then a persistent fault; 12 s later all programs must be served. With
/// `election` the load is higher and more programs are long.
void deployment(ScenarioRun& run, bool election) {
  auto& world = run.world;
  run.callers.settings.long_program_share = election ? 6 : 12;
  run.callers.traffic(election ? 38ms : 83ms, world.now() + 80000ms);
  world.run(2000ms);
  auto first = world.next_random();
  auto second = world.next_random();
  inject_fault(run, first);
  world.run(1000ms);
  bool same = second % kFaultKinds == first % kFaultKinds;
  inject_fault(run, same ? second + 1 : second);
  if (!world.until(20000ms, [&] { return has_no_sequences(world); }))
    world.fail("sequences did not end before the persistent fault");
  world.run(3000ms);
  const auto* fault = inject_closing_fault(run, world.next_random());
  world.run(12000ms);
  run.callers.settings.only_ready = true;
  must_resume(run, fault);
}

}  // namespace mosskeel::sim
