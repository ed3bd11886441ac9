// Scenarios at the sizes of the deployments: two faults under load, then a persistent fault; and planned maintenance.
#include <algorithm>

#include "metadata/constants.hpp"
#include "simulation/scenario_functions.hpp"

namespace mosskeel::sim {
namespace {

/// Faults and closing faults are selected by number; docs/proof.md lists them.
constexpr uint64_t kFaultKinds = 9;
constexpr uint64_t kClosingFaults = 7;

void overload_replicas(Day& day) {
  day.callers.settings.urgent_share = 15;
  day.callers.traffic(6ms, day.world.now() + 4000ms);
  day.world.run(6000ms);
}

void replace_replicas_one_by_one(Day& day) {
  for (int number = 1; number <= 4; ++number) {
    auto name = "model" + std::to_string(number);
    day.callers.set_replica(name, ReplicaHealth::draining);
    day.world.run(1800ms);
    day.callers.set_replica(name, ReplicaHealth::warming_up);
    day.world.run(700ms);
  }
}

void lose_gateway_for_a_while(Day& day) {
  auto gateway = day.any(Kind::gateway);
  day.world.kill(gateway);
  day.world.run(4000ms);
  day.world.start(gateway);
  day.world.run(4000ms);
}

void lose_store_disk(Day& day) {
  auto store = day.any(Kind::store);
  day.world.wipe(store);
  day.world.run(2000ms);
  day.world.start(store);
  day.world.run(12000ms);
}

void lose_zone_for_a_while(World& world) {
  auto names = names_in_zone(world, world.any_zone());
  power_off_all(world, names);
  world.run(8000ms);
  start_all(world, names);
  world.run(8000ms);
}

/// An empty controller at a new address takes a lost one's place.
void replace_controller(Day& day) {
  auto& world = day.world;
  auto lost = day.any(Kind::controller);
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
void race_operators(Day& day) {
  constexpr int rounds = 20;
  for (int round = 0; round < rounds; ++round) {
    auto metadata = latest(day.world);
    auto changed = metadata->configuration;
    changed.cells[0].retention_ms += 1 + round;
    for (int i = 0; i < 2; ++i)
      day.callers.commit(ApplyConfiguration{metadata->revision, changed}, [](const CommitReply&) {});
    day.world.run(150ms);
  }
}

/// Injects one kind of fault; its effects may continue after the call.
void inject_fault(Day& day, uint64_t number) {
  switch (number % kFaultKinds) {
    case 0:
      return overload_replicas(day);
    case 1:
      return replace_replicas_one_by_one(day);
    case 2:
      return lose_gateway_for_a_while(day);
    case 3:
      return lose_store_disk(day);
    case 4:
      return lose_zone_for_a_while(day.world);
    case 5:
      return replace_controller(day);
    case 6:
      return add_machines(day.world);
    case 7:
      return swap_seeds(day.world);
    default:
      return race_operators(day);
  }
}

/// A gateway and its agent.
std::vector<std::string> any_gateway_machine(Day& day) {
  auto gateway = day.any(Kind::gateway);
  return {gateway, day.world.node(gateway).beside};
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
const char* inject_closing_fault(Day& day, uint64_t number) {
  auto& world = day.world;
  switch (number % kClosingFaults) {
    case 0:
      for (const auto& name : any_gateway_machine(day))
        world.kill(name);
      return "a gateway killed";
    case 1:
      for (const auto& name : any_gateway_machine(day))
        world.freeze(name);
      return "a gateway frozen";
    case 2:
      world.power_off(day.any(Kind::store));
      return "a store lost";
    case 3:
      world.wipe(day.any(Kind::controller));
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

/// A new program for each partition, and some of those that were served before.
std::vector<std::string> programs_to_resume(Day& day) {
  constexpr size_t max_old_programs = 120;
  std::vector<std::string> names;
  std::set<PartitionId> covered;
  for (int i = 0; covered.size() < kPartitionCount; ++i) {
    auto name = "after" + std::to_string(i);
    if (covered.insert(partition_of("news", name)).second)
      names.push_back(name);
  }
  auto old = day.callers.programs();
  for (size_t i = 0; i < old.size() && i < max_old_programs; ++i)
    names.push_back(old[day.world.next_random() % old.size()]);
  return names;
}

/// Number of turns of each program that are not yet served.
using OpenTurns = std::map<std::string, int>;

/// Starts a turn of each program. A program whose budget is spent counts as served, too.
std::shared_ptr<OpenTurns> start_turns(Day& day, const std::vector<std::string>& programs) {
  constexpr uint32_t budget_spent = 429;
  auto open = std::make_shared<OpenTurns>();
  for (const auto& program : programs) {
    ++(*open)[program];
    auto begin = day.world.now() + day.world.below(1500ms);
    day.world.at(begin, [&day, program, open] {
      day.callers.turn(program, "closing", [program, open](const Turn& turn) {
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
void must_resume(Day& day, const char* fault) {
  auto& world = day.world;
  auto programs = programs_to_resume(day);
  auto open = start_turns(day, programs);
  auto count_open = [open] {
    return std::count_if(open->begin(), open->end(), [](const auto& entry) { return entry.second > 0; });
  };
  if (world.until(6000ms, [&] { return count_open() == 0; }))
    return;
  world.fail(std::to_string(count_open()) + " of " + std::to_string(programs.size()) +
             " programs not served 12 s after " + fault + ":" + list_open(*open));
}

/// The change must be acknowledged.
void must_commit(Day& day, Transformation change, const char* what) {
  auto committed = std::make_shared<bool>(false);
  day.callers.commit(std::move(change),
                     [committed](const CommitReply& reply) { *committed = reply.outcome == CommitOutcome::committed; });
  if (!day.world.until(10000ms, [committed] { return *committed; }))
    day.world.fail(std::string(what) + " was not acknowledged");
  day.world.run(500ms);
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
void replace_store_in_order(Day& day) {
  auto& world = day.world;
  world.add("store9", Kind::store, "a");
  world.run(3000ms);
  must_be_stable(world, "a store was added");
  must_commit(day, PrepareDrain{latest(world)->find_at("store1")->id}, "the retirement");
  if (!world.until(15000ms, [&] { return has_no_sequences(world); }))
    world.fail("the retirement did not end");
  world.run(1000ms);
  world.stop("store1");
}

void evacuate_and_restore(Day& day) {
  must_commit(day, EvacuateZone{"b"}, "the evacuation");
  day.world.run(3000ms);
  must_commit(day, RestoreZone{"b"}, "the restoration");
  day.world.run(2000ms);
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
void successor(Day& day) {
  auto& world = day.world;
  day.callers.traffic(50ms, world.now() + 40000ms);
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
void planned(Day& day) {
  auto& world = day.world;
  day.callers.traffic(50ms, world.now() + 75000ms);
  restart_in_order(world);
  replace_store_in_order(day);
  evacuate_and_restore(day);
  auto metadata = latest(world);
  auto from = metadata->find_at("gateway1")->id;
  auto to = metadata->find_at("gateway3")->id;
  must_commit(day, MoveAllPartitions{from, to}, "moving partitions");
  if (!change_configuration(day, 10000ms))
    world.fail("a configuration was not acknowledged");
  world.run(3000ms);
  const auto& totals = day.callers.totals;
  auto lost = totals.unknowns + totals.unknown_counts;
  if (!lost)
    return;
  world.fail(std::to_string(lost) + " answers were lost in planned work");
  for (const auto& [reason, count] : totals.reasons)
    world.fail(std::to_string(count) + " times: " + reason);
}

/// Two faults under a deployment's load, then a persistent fault; 12 s later all programs must be served. With
/// `election` the load is higher and more programs are long.
void deployment(Day& day, bool election) {
  auto& world = day.world;
  day.callers.settings.long_program_share = election ? 6 : 12;
  day.callers.traffic(election ? 38ms : 83ms, world.now() + 80000ms);
  world.run(2000ms);
  auto first = world.next_random();
  auto second = world.next_random();
  inject_fault(day, first);
  world.run(1000ms);
  bool same = second % kFaultKinds == first % kFaultKinds;
  inject_fault(day, same ? second + 1 : second);
  if (!world.until(20000ms, [&] { return has_no_sequences(world); }))
    world.fail("sequences did not end before the persistent fault");
  world.run(3000ms);
  const auto* fault = inject_closing_fault(day, world.next_random());
  world.run(12000ms);
  day.callers.settings.only_ready = true;
  must_resume(day, fault);
}

}  // namespace mosskeel::sim
