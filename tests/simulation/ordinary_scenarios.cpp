// Scenarios with one kind of fault each.
#include "runtime/settings.hpp"
#include "simulation/scenario_functions.hpp"

namespace mosskeel::sim {
namespace {

/// Injects a random fault into one daemon and ends it some seconds later. A slow disk stays slow until the final
/// recovery.
void inject_random_fault(ScenarioRun& run, const std::string& name, const std::vector<Kind>& kinds, bool slow_disks) {
  auto& world = run.world;
  auto start = [&world, name] {
    world.start(name);
  };
  auto heal = [&world] {
    world.heal();
  };
  switch (world.next_random() % 6) {
    case 0:
      world.kill(name);
      return world.at(world.now() + world.below(4000ms), start);
    case 1:
      world.power_off(name);
      return world.at(world.now() + world.below(4000ms), start);
    case 2:
      world.freeze(name);
      return world.at(world.now() + 200ms + world.below(7000ms), [&world, name] { world.wake(name); });
    case 3:
      world.isolate(name);
      return world.at(world.now() + 200ms + world.below(6000ms), heal);
    case 4: {
      auto kind = kinds[world.next_random() % kinds.size()];
      world.cut(name, run.any(kind));
      return world.at(world.now() + world.below(5000ms), heal);
    }
    default:
      if (slow_disks)
        world.node(name).disk.slow = world.below(300ms);
  }
}

/// An operator who commits changes one after the other until `end` without waiting for answers.
void commit_until(ScenarioRun& run, TimePoint end) {
  auto& world = run.world;
  if (world.now() >= end)
    return;
  if (const auto& machine = world.node("controller1").machine) {
    auto metadata = machine->view();
    auto changed = metadata->configuration;
    if (!changed.cells.empty())
      changed.cells[0].retention_ms += 1;
    run.callers.commit(ApplyConfiguration{metadata->revision, changed}, [](const CommitReply&) {});
  }
  world.at(world.now() + 20ms + world.below(150ms), [&run, end] { commit_until(run, end); });
}

}  // namespace

/// Load without faults.
void quiet(ScenarioRun& run) {
  run.callers.traffic(100ms, run.world.now() + 10000ms);
  run.world.run(12000ms);
}

/// Messages are lost, duplicated and late.
void lossy(ScenarioRun& run) {
  run.world.net.loss = 0.02;
  run.world.net.twice = 0.05;
  run.callers.traffic(100ms, run.world.now() + 15000ms);
  run.world.run(20000ms);
}

/// Random daemons of these kinds are killed, frozen, cut off and slowed, a few at a time.
void havoc(ScenarioRun& run, const std::vector<Kind>& kinds, bool slow_disks) {
  auto& world = run.world;
  auto end = world.now() + 30000ms;
  run.callers.traffic(80ms, end);
  while (world.now() < end) {
    world.run(500ms + world.below(2500ms));
    auto kind = kinds[world.next_random() % kinds.size()];
    auto name = run.any(kind);
    inject_random_fault(run, name, kinds, slow_disks);
  }
  world.run(3000ms);
}

/// Replicas fail in every way.
void faults(ScenarioRun& run) {
  constexpr ReplicaFault all[] = {ReplicaFault::cut,   ReplicaFault::lost, ReplicaFault::unsealed,
                                  ReplicaFault::stall, ReplicaFault::skip, ReplicaFault::false_seal};
  constexpr int faulty_calls = 3;  // one in this many calls
  constexpr uint64_t models = 4;
  auto& world = run.world;
  size_t next = 0;
  for (auto& [name, replica] : run.callers.replicas) {
    replica.fault = all[next++ % std::size(all)];
    replica.fault_every = faulty_calls;
  }
  run.callers.traffic(80ms, world.now() + 15000ms);
  for (int round = 0; round < 6; ++round) {
    world.run(2500ms);
    auto& replica = run.callers.replicas["model" + std::to_string(1 + world.below(models))];
    replica.up = !replica.up;
  }
  world.run(12000ms);
}

/// Operators send concurrent changes while controllers lose power; every acknowledged configuration must be in force
/// within 2 s at every connected gateway.
void storm(ScenarioRun& run) {
  auto& world = run.world;
  auto end = world.now() + 15000ms;
  run.callers.traffic(150ms, end);
  commit_until(run, end);
  commit_until(run, end);
  world.net.loss = 0.01;
  for (int round = 0; round < 5; ++round) {
    world.run(3000ms);
    auto lost = run.any(Kind::controller);
    world.power_off(lost);
    world.at(world.now() + 1500ms, [&world, lost] { world.start(lost); });
  }
  world.run(3000ms);
}

/// Replicas and a zone are drained under load, with gateways cut off.
void drains(ScenarioRun& run) {
  auto& world = run.world;
  auto& callers = run.callers;
  callers.traffic(60ms, world.now() + 25000ms);
  for (int i = 0; i < 3; ++i) {
    world.run(2000ms);
    auto gateway = run.any(Kind::gateway);
    world.isolate(gateway);
    world.isolate(world.node(gateway).beside);
    auto replica = std::string(i % 2 ? "app" : "model") + std::to_string(i + 1);
    callers.set_replica(replica, ReplicaHealth::draining);
    world.run(4500ms);
    world.heal();
    callers.set_replica(replica, ReplicaHealth::ready);
  }
  world.run(5000ms);
  callers.commit(EvacuateZone{"a"}, [](const CommitReply&) {});
  world.run(9000ms);
  callers.commit(RestoreZone{"a"}, [](const CommitReply&) {});
  world.run(3000ms);
}

/// A store is added, one is drained, one loses its disk, all under load.
void stores(ScenarioRun& run) {
  auto& world = run.world;
  run.callers.traffic(80ms, world.now() + 40000ms);
  world.run(3000ms);
  world.add("store9", Kind::store, "a");
  world.run(6000ms);
  auto metadata = world.node("controller1").machine->view();
  const auto* drained = metadata->find_at("store2");
  run.callers.commit(PrepareDrain{drained ? drained->id : DaemonId{}}, [](const CommitReply&) {});
  world.run(8000ms);
  auto lost = run.any(Kind::store);
  world.wipe(lost);
  world.run(1000ms);
  world.start(lost);
  world.run(20000ms);
}

/// A controller is lost with its disk and an empty one comes at a new address: it must become a member of the core.
void core(ScenarioRun& run) {
  auto& world = run.world;
  run.callers.traffic(100ms, world.now() + 25000ms);
  world.run(2000ms);
  auto lost = run.any(Kind::controller);
  world.wipe(lost);
  world.run(1000ms);
  world.add("controller9", Kind::controller, "b");
  world.run(15000ms);
  std::string witness;
  for (const auto& name : world.names(Kind::controller))
    if (world.node(name).machine)
      witness = name;
  auto metadata = world.node(witness).machine->view();
  bool admitted = false;
  for (auto id : metadata->members)
    admitted = admitted || metadata->find(id)->self.address == "controller9";
  if (!admitted)
    world.fail("the empty controller did not join the core");
  world.start(lost);
  world.run(5000ms);
}

/// Gateways shut down gracefully, one after the other, and return: no answer may be lost.
void rolling(ScenarioRun& run) {
  auto& world = run.world;
  run.callers.traffic(60ms, world.now() + 25000ms);
  for (const auto& name : world.names(Kind::gateway)) {
    world.run(1500ms);
    auto& gateway = static_cast<GatewayMachine&>(*world.node(name).machine);
    gateway.begin_shutdown(ShutdownLimits::begin(world.clock(world.node(name)), kDefaultShutdownGrace));
    if (!world.until(15000ms, [&] { return !world.node(name).machine; }))
      world.fail(name + " did not shut down gracefully");
    world.run(300ms);
    world.start(name);
    world.until(10000ms, [&] { return world.ready(name); });
  }
  world.run(5000ms);
  if (auto lost = run.callers.totals.unknowns + run.callers.totals.unknown_counts)
    world.fail(std::to_string(lost) + " answers were lost in planned restarts");
}

}  // namespace mosskeel::sim
