// Losses of stores at critical moments: right after an acknowledgement, during a drain, twice in a row.
#include <algorithm>

#include "history/constants.hpp"
#include "simulation/scenario_functions.hpp"

namespace mosskeel::sim {
namespace {

/// The next loss may follow this long after a successor's start, on a deployment that tolerates two losses.
constexpr Duration kCatchUpLimit = 6000ms;
/// A lost store's copies are restored within this time on a deployment that tolerates one loss.
constexpr Duration kRestoreLimit = 12000ms;
/// Number of stores lost at once on a deployment that tolerates two losses.
constexpr size_t kStoresLostAtOnce = 2;

/// Restarts all gateways, so that stores cannot recover missing records from an owner's memory.
void restart_all_gateways(ScenarioRun& run) {
  auto& world = run.world;
  for (const auto& name : world.names(Kind::gateway))
    world.kill(name);
  world.at(world.now() + 100ms, [&world] { start_all(world, world.names(Kind::gateway)); });
}

/// Whether this incarnation of the daemon runs, and not another one at its address.
bool runs(World& world, const Daemon& daemon) {
  const auto& address = daemon.self.address;
  return world.alive(address) && world.node(address).id.self.incarnation == daemon.self.incarnation;
}

/// The running stores of a program's partition.
std::vector<std::string> running_stores(ScenarioRun& run, const std::string& program) {
  auto metadata = latest(run.world);
  const auto& partition = metadata->partitions[partition_of("news", program).value()];
  std::vector<std::string> names;
  for (auto id : partition.stores) {
    const auto* store = metadata->find(id);
    if (store && runs(run.world, *store))
      names.push_back(store->self.address);
  }
  return names;
}

/// Whether every partition has its full number of stores, all of them up, and no sequence is in progress.
bool has_all_copies(World& world) {
  auto metadata = latest(world);
  if (!metadata || !metadata->sequences.empty())
    return false;
  auto is_good = [&](auto id) {
    const auto* store = metadata->find(id);
    return store && store->state == DaemonState::up && runs(world, *store);
  };
  return std::all_of(metadata->partitions.begin(), metadata->partitions.end(), [&](const auto& partition) {
    const auto& stores = partition.stores;
    return stores.size() >= world.copies && std::all_of(stores.begin(), stores.end(), is_good);
  });
}

/// Runs a turn of a new program and calls `lose` with the program's name at the moment of a successful answer. Retries
/// with another program if the turn fails or takes too long; a turn answered after that limit still calls `lose`, late.
void lose_after_acknowledgement(ScenarioRun& run, const std::function<void(const std::string&)>& lose) {
  constexpr int max_turns = 10;
  constexpr Duration turn_limit = 8000ms;
  auto& world = run.world;
  struct Outcome {
    bool over = false, served = false;
  };
  for (int i = 0; i < max_turns; ++i) {
    auto program = "acked" + std::to_string(world.next_random());
    auto outcome = std::make_shared<Outcome>();
    run.callers.turn(program, "main", [=](const Turn& turn) {
      outcome->over = true;
      outcome->served = turn.success;
      if (turn.success)
        lose(program);
    });
    world.until(turn_limit, [outcome] { return outcome->over; });
    if (outcome->served)
      return;
  }
  world.fail("no turn was served");
}

/// Erases the disks of two stores that hold the program, and the copy in its owner's memory.
std::vector<std::string> lose_two_holders(ScenarioRun& run, const std::string& program) {
  auto& world = run.world;
  auto lost = running_stores(run, program);
  while (lost.size() > kStoresLostAtOnce)
    lost.erase(lost.begin() + static_cast<ptrdiff_t>(world.next_random() % lost.size()));
  for (const auto& name : lost)
    world.wipe(name);
  restart_all_gateways(run);
  return lost;
}

/// Powers off the controller that holds the supervisor lease for a while.
void lose_supervisor(World& world) {
  for (const auto& name : world.names(Kind::controller)) {
    const auto& node = world.node(name);
    if (!static_cast<ControllerMachine&>(*node.machine).is_supervisor(world.clock(node)))
      continue;
    world.power_off(name);
    return world.at(world.now() + 6000ms, [&world, name] { world.start(name); });
  }
}

/// Injects a fault during a drain: another store loses its disk, the drained one freezes, or the supervisor is lost.
void inject_drain_fault(ScenarioRun& run, const std::string& drained) {
  auto& world = run.world;
  switch (world.next_random() % 3) {
    case 0: {
      auto other = run.any_store_except(drained);
      world.wipe(other);
      return world.at(world.now() + 500ms, [&world, other] { world.start(other); });
    }
    case 1:
      world.freeze(drained);
      return world.at(world.now() + 500ms + world.below(4000ms), [&world, drained] { world.wake(drained); });
    default:
      return lose_supervisor(world);
  }
}

/// Erases a store's disk and checks that its copies are restored.
void lose_one_store(ScenarioRun& run, const std::string& name) {
  auto& world = run.world;
  world.wipe(name);
  restart_all_gateways(run);
  world.run(500ms);
  world.start(name);
  auto started = world.now();
  if (!world.until(kRestoreLimit, [&] { return has_all_copies(world); }))
    world.fail("the copies of a lost store were not restored");
  run.repair_times.push_back(world.now() - started);
}

}  // namespace

/// The fleet tolerates two losses at once: two stores of a partition lose their disks right after they acknowledged a
/// turn, repeatedly, each time as soon as the catch-up time of the previous successors is over.
void pair_wiped(ScenarioRun& run) {
  auto& world = run.world;
  run.callers.traffic(80ms, world.now() + 30000ms);
  world.run(2000ms);
  for (int round = 0; round < 3; ++round) {
    auto lost = std::make_shared<std::vector<std::string>>();
    lose_after_acknowledgement(run,
                               [&run, lost](const std::string& program) { *lost = lose_two_holders(run, program); });
    world.run(300ms + world.below(700ms));
    start_all(world, *lost);
    auto started = world.now();
    if (!world.until(kCatchUpLimit, [&] { return has_all_copies(world); }))
      world.fail("a partition lacks copies after the catch-up time of the successors");
    run.repair_times.push_back(world.now() - started);
    world.run(started + kCatchUpLimit - world.now());
  }
}

/// Two stores of seven lose their disks right after they acknowledged a turn and are not replaced. The others take over
/// their partitions; then two more are lost, and the remaining stores must still serve and hold all histories.
void unreplaced(ScenarioRun& run) {
  auto& world = run.world;
  run.callers.traffic(80ms, world.now() + 30000ms);
  world.run(2000ms);
  auto lose = [&run](const std::string& program) {
    lose_two_holders(run, program);
  };
  lose_after_acknowledgement(run, lose);
  auto lost_at = world.now();
  if (!world.until(kCatchUpLimit, [&] { return has_all_copies(world); }))
    world.fail("the other stores did not take over from two lost stores");
  run.repair_times.push_back(world.now() - lost_at);
  lose_after_acknowledgement(run, lose);
  world.run(2000ms);
  must_serve(run, 5000ms, "the loss of four stores of seven, two and two");
}

/// An operator drains a store, and another fault occurs at a random step of the drain. As soon as the log records that
/// the store has left, its disk is erased; after the repair another store loses its disk. The fleet tolerates one loss
/// at a time.
void leaving(ScenarioRun& run) {
  constexpr Duration drain_limit = 20000ms;
  auto& world = run.world;
  run.callers.traffic(80ms, world.now() + 40000ms);
  world.run(3000ms);
  auto drained = run.any(Kind::store);
  auto id = latest(world)->find_at(drained)->id;
  run.callers.commit(PrepareDrain{id}, [](const CommitReply&) {});
  if (!world.until(5000ms, [&] { return latest(world)->sequences.count(id) > 0; }))
    return world.fail("the drain did not begin");
  world.run(world.below(400ms));
  inject_drain_fault(run, drained);
  auto has_left = [&] {
    auto metadata = latest(world);
    return metadata && metadata->find(id)->state == DaemonState::left && !metadata->holds_partitions(id);
  };
  if (!world.until(drain_limit, has_left))
    world.fail("the drain did not end");
  world.wipe(drained);
  restart_all_gateways(run);
  if (!world.until(kRestoreLimit, [&] { return has_all_copies(world); }))
    world.fail("a partition lacks copies long after the drain");
  lose_one_store(run, run.any_store_except(drained));
}

/// A store freezes and resumes repeatedly, each time just long enough to be marked down. It must not trigger a repair
/// each time.
void flapping(ScenarioRun& run) {
  constexpr size_t max_sequences = 8;
  constexpr int rounds = 12;
  constexpr Duration marked_down_after = 3200ms;
  auto& world = run.world;
  run.callers.traffic(80ms, world.now() + 60000ms);
  world.run(2000ms);
  auto store = run.any(Kind::store);
  std::set<Epoch> sequences;
  auto record_sequences = [&] {
    for (const auto& [id, sequence] : latest(world)->sequences)
      sequences.insert(sequence.started_epoch);
    return false;
  };
  for (int round = 0; round < rounds; ++round) {
    world.freeze(store);
    world.until(marked_down_after + world.below(1500ms), record_sequences);
    world.wake(store);
    world.until(1000ms + world.below(1000ms), record_sequences);
  }
  if (sequences.size() > max_sequences)
    world.fail(std::to_string(sequences.size()) + " sequences for a flapping store");
}

/// Most histories are too large for one message. Two stores lose their disks, one after the other, and all gateways
/// restart in between, so that new owners read the histories while a store copies them.
void large_histories(ScenarioRun& run) {
  auto& world = run.world;
  run.callers.settings.input_bytes = 2 * kMaxWholeHistoryBytes / 10;
  run.callers.settings.long_program_share = 1;
  run.callers.traffic(700ms, world.now() + 26000ms);
  world.run(8000ms);
  auto first = run.any(Kind::store);
  lose_one_store(run, first);
  must_serve(run, 5000ms, "the loss of a store with large histories");
  restart_all_gateways(run);
  world.run(2000ms);
  lose_one_store(run, run.any_store_except(first));
  must_serve(run, 5000ms, "the loss of a second store with large histories");
}

}  // namespace mosskeel::sim
