// Scenarios with faults of whole zones and roles, with cold replicas and with overload.
#include "metadata/constants.hpp"
#include "programs/constants.hpp"
#include "simulation/scenario_functions.hpp"

namespace mosskeel::sim {
namespace {

/// Cuts the first controllers off from the others; with `one_way` they still receive messages from the others.
void split_core(World& world, size_t first_part, bool one_way) {
  auto names = world.names(Kind::controller);
  for (size_t i = 0; i < first_part; ++i) {
    for (size_t j = first_part; j < names.size(); ++j) {
      world.cut(names[i], names[j]);
      if (!one_way)
        world.cut(names[j], names[i]);
    }
  }
}

void set_replicas_up(ScenarioRun& run, const std::string& zone, bool up) {
  for (auto& [name, replica] : run.callers.replicas)
    if (replica.zone == zone)
      replica.up = up;
}

/// Whether the store is up again, no sequence is in progress, and all stores of every partition are up.
bool is_restored(World& world, const std::string& store) {
  auto metadata = latest(world);
  const auto* restored = metadata->find(world.node(store).id.self.incarnation);
  if (!restored || restored->state != DaemonState::up || !metadata->sequences.empty())
    return false;
  for (const auto& partition : metadata->partitions)
    for (auto id : partition.stores)
      if (metadata->find(id)->state != DaemonState::up)
        return false;
  return true;
}

/// Marks a replica as warming up and checks that its ramp lasts as long as configured.
void mark_cold(ScenarioRun& run, const std::string& name) {
  constexpr Duration clocks_differ = 500ms;
  auto& world = run.world;
  auto& replica = run.callers.replicas[name];
  run.callers.set_replica(name, ReplicaHealth::warming_up, [&world, &replica](const CommitReply& reply) {
    if (reply.outcome != CommitOutcome::committed)
      return;
    replica.cold_since = world.now();
    replica.calls_while_cold.clear();
  });
  world.run(kSlowStartDuration - clocks_differ);
  auto metadata = latest(world);
  if (metadata && metadata->replicas.at(name).health != ReplicaHealth::warming_up)
    world.fail(name + " was called ready before its ramp was over");
  replica.cold_since = {};
}

void power_cycle_stores(ScenarioRun& run, const std::string& gateway) {
  auto& world = run.world;
  power_off_all(world, world.names(Kind::store));
  world.kill(gateway);
  world.run(200ms);
  start_all(world, world.names(Kind::store));
  world.start(gateway);
}

}  // namespace

/// The core is partitioned, both ways or one way.
void split(ScenarioRun& run) {
  auto& world = run.world;
  run.callers.traffic(100ms, world.now() + 40000ms);
  for (int round = 0; round < 4; ++round) {
    world.run(1500ms);
    auto first_part = 1 + world.next_random() % 4;
    bool one_way = world.chance(0.4);
    split_core(world, first_part, one_way);
    if (auto revision = change_configuration(run, 4000ms))
      must_be_in_force(run, revision, 2000ms);
    must_serve(run, 2500ms, "a split of the core");
    world.heal();
  }
  world.run(3000ms);
}

/// Everything in one zone loses power at once and comes back much later.
void zone_lost(ScenarioRun& run) {
  auto& world = run.world;
  run.callers.traffic(100ms, world.now() + 28000ms);
  world.run(2000ms);
  auto zone = world.any_zone();
  auto lost = names_in_zone(world, zone);
  power_off_all(world, lost);
  set_replicas_up(run, zone, false);
  world.run(7000ms);
  must_serve(run, 5000ms, "the loss of a zone");
  if (auto revision = change_configuration(run, 8000ms))
    must_be_in_force(run, revision, 2000ms);
  else
    world.fail("no change was accepted with one zone lost");
  start_all(world, lost);
  set_replicas_up(run, zone, true);
  world.run(10000ms);
}

/// All controllers are down for a while; the fleet must serve with the metadata that it has.
void coreless(ScenarioRun& run) {
  auto& world = run.world;
  run.callers.traffic(100ms, world.now() + 25000ms);
  world.run(2000ms);
  power_off_all(world, world.names(Kind::controller));
  world.run(4000ms);
  must_serve(run, 10000ms, "the loss of the whole core");
  start_all(world, world.names(Kind::controller));
  world.run(5000ms);
  if (!change_configuration(run, 10000ms))
    world.fail("the core did not come back");
}

/// All gateways but one are lost permanently at once. The core and the stores are not affected, so operators' changes
/// must be acknowledged as before, starting right after the loss.
void gateways_lost(ScenarioRun& run) {
  constexpr Duration acknowledgement_limit = 4000ms;
  auto& world = run.world;
  run.callers.traffic(60ms, world.now() + 30000ms);
  world.run(3000ms);
  auto gateways = world.names(Kind::gateway);
  for (size_t i = 1; i < gateways.size(); ++i) {
    world.kill(world.node(gateways[i]).beside);
    world.kill(gateways[i]);
  }
  world.run(world.below(300ms));
  for (int round = 0; round < 4; ++round) {
    auto revision = change_configuration(run, acknowledgement_limit);
    if (!revision)
      world.fail("no change was acknowledged with one gateway left");
    must_be_in_force(run, revision, 2000ms);
    world.run(3000ms);
  }
  must_serve(run, 5000ms, "the loss of most gateways");
}

/// Replicas return cold, one after the other, under load.
void cold(ScenarioRun& run) {
  auto& world = run.world;
  run.callers.traffic(25ms, world.now() + 25000ms);
  world.run(1000ms);
  for (int number = 1; number <= 3; ++number)
    mark_cold(run, "model" + std::to_string(number));
  auto is_ready = [&] {
    return latest(world)->replicas.at("model1").health == ReplicaHealth::ready;
  };
  if (!world.until(10000ms, is_ready))
    world.fail("a cold replica never became ready");
}

/// Load far above the replicas' capacity, including urgent turns: the fleet must keep serving, reject early what it
/// cannot serve, and let urgent turns through.
void rush(ScenarioRun& run) {
  constexpr uint64_t min_goodput = 200;
  constexpr uint64_t min_refusals = 50;
  constexpr Duration refusal_margin = 1000ms;
  auto& world = run.world;
  auto& callers = run.callers;
  auto usual = callers.settings;
  callers.settings.chunk_time = 900ms;
  callers.settings.urgent_share = 20;
  callers.settings.max_tries = 3;
  callers.settings.sub_agents = false;
  callers.traffic(100ms, world.now() + 5000ms);
  world.run(5000ms);
  callers.traffic(4ms, world.now() + 10000ms);
  auto before = callers.totals.successes;
  world.run(10000ms);
  auto served = callers.totals.successes - before;
  if (served < min_goodput)
    world.fail("goodput is too low under overload: " + std::to_string(served));
  if (callers.totals.refusals < min_refusals)
    world.fail("too few refusals, so the fleet was not overloaded");
  world.run(45000ms);
  if (callers.totals.slowest_refusal > kMaxQueueWait + refusal_margin)
    world.fail("a refusal took " + std::to_string(callers.totals.slowest_refusal.count()) + " ms");
  callers.settings.max_tries = usual.max_tries;
  callers.settings.chunk_time = usual.chunk_time;
  if (callers.totals.urgent_done * 2 < callers.totals.urgent_requested)
    world.fail("urgent turns starve: " + std::to_string(callers.totals.urgent_done) + " of " +
               std::to_string(callers.totals.urgent_requested));
}

/// All stores are slow, gateways are killed often, and sometimes all stores lose power at once.
void slow_disks(ScenarioRun& run) {
  auto& world = run.world;
  run.callers.traffic(80ms, world.now() + 25000ms);
  for (int round = 0; round < 8; ++round) {
    for (const auto& store : world.names(Kind::store))
      world.node(store).disk.slow = 100ms + world.below(300ms);
    world.run(1500ms + world.below(1500ms));
    auto gateway = run.any(Kind::gateway);
    if (round % 2) {
      power_cycle_stores(run, gateway);
    } else {
      world.kill(gateway);
      world.run(500ms);
      world.start(gateway);
    }
  }
  world.run(6000ms);
}

/// Every store loses its disk, one after the other, each only once the one before is repaired; the gateways restart
/// each time, so that stores cannot recover missing records from an owner's memory.
void carousel(ScenarioRun& run) {
  auto& world = run.world;
  run.callers.traffic(100ms, world.now() + 20000ms);
  for (const auto& store : world.names(Kind::store)) {
    world.run(1500ms);
    restart_gateways(world);
    world.wipe(store);
    world.run(500ms);
    world.start(store);
    if (!world.until(25000ms, [&] { return is_restored(world, store); }))
      world.fail("the copies of " + store + " were not restored");
  }
}

/// Programs whose sub-agents all start turns at once, against one small budget.
void many_helpers(ScenarioRun& run) {
  constexpr int programs = 30;
  constexpr int sub_agents = 8;
  auto& world = run.world;
  run.callers.traffic(200ms, world.now() + 12000ms);
  for (int i = 0; i < programs; ++i) {
    auto program = "dive" + std::to_string(i);
    for (int j = 0; j < sub_agents; ++j)
      run.callers.turn(program, "h" + std::to_string(j), [](const Turn&) {});
    world.run(300ms);
  }
  world.run(5000ms);
}

}  // namespace mosskeel::sim
