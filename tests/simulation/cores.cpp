// Scenarios in which the core is lost, in part or whole.
#include <algorithm>

#include "simulation/scenario_functions.hpp"

namespace mosskeel::sim {
namespace {

constexpr Duration kChangeTimeout = 10000ms;
/// An acknowledged revision takes effect within this time on a fleet without other faults.
constexpr Duration kInForceLimit = 2000ms;

/// All but one of the names.
std::vector<std::string> all_except(std::vector<std::string> names, const std::string& excluded) {
  std::erase(names, excluded);
  return names;
}

/// Sends an operator's command to re-found the core, which the controller's process answers at once.
CommitReply request_refounding(World& world, const std::string& controller, std::vector<DaemonId> lost) {
  const Address operator_address = "local:op";
  CommitReply reply{};
  reply.outcome = CommitOutcome::unknown;
  auto usual_handler = world.local;
  world.local = [&](Node&, const Envelope& envelope) {
    if (envelope.to == operator_address)
      reply = std::get<CommitReply>(envelope.body);
  };
  Envelope envelope{};
  envelope.from = operator_address;
  envelope.body = RefoundRequest{"rebuild", std::move(lost)};
  world.post(controller, std::move(envelope));
  world.local = usual_handler;
  return reply;
}

/// A re-founding must be refused while a majority runs or while an unreachable member is not named, and else succeed.
void refound(World& world, const std::string& survivor, const std::vector<std::string>& others) {
  std::vector<DaemonId> lost;
  lost.reserve(others.size());
  for (const auto& name : others)
    lost.push_back(latest(world)->find_at(name)->id);
  if (request_refounding(world, survivor, lost).outcome != CommitOutcome::rejected)
    world.fail("a rebuild was accepted while a majority runs");
  power_off_all(world, others);
  world.run(6000ms);
  if (request_refounding(world, survivor, {lost[0]}).outcome != CommitOutcome::rejected)
    world.fail("a rebuild was accepted though an unreachable member was not named");
  auto reply = request_refounding(world, survivor, lost);
  if (reply.outcome != CommitOutcome::committed)
    world.fail("the rebuild was refused: " + reply.reason);
}

/// Makes a store slow or cuts it off, with some probability, while the change is acknowledged.
void inject_store_fault(ScenarioRun& run, const std::string& survivor) {
  auto& world = run.world;
  auto other = run.any(Kind::store);
  if (world.chance(0.4)) {
    auto slow = 100ms + world.below(400ms);
    world.node(run.any(Kind::store)).disk.slow = slow;
  } else if (other != survivor && world.chance(0.5)) {
    world.isolate(other);
  }
}

/// Stops all daemons and erases all disks except the survivor's.
void lose_all_disks_except(World& world, const std::vector<std::string>& disks, const std::string& survivor) {
  for (const auto& name : disks) {
    if (name == survivor)
      world.power_off(name);
    else
      world.wipe(name);
  }
  power_off_all(world, world.names(Kind::agent));
  power_off_all(world, world.names(Kind::gateway));
  world.heal();
}

void start_everything(World& world) {
  for (auto kind : {Kind::store, Kind::controller, Kind::agent, Kind::gateway}) {
    for (const auto& name : world.names(kind)) {
      world.start(name);
      world.node(name).disk.slow = {};
    }
  }
}

}  // namespace

/// The core loses power right after each acknowledgement, once with one disk.
void power_after_ack(ScenarioRun& run) {
  constexpr int round_with_lost_disk = 2;
  auto& world = run.world;
  run.callers.traffic(150ms, world.now() + 40000ms);
  for (int round = 0; round < 5; ++round) {
    world.run(500ms + world.below(1000ms));
    auto revision = change_configuration(run, kChangeTimeout);
    auto controllers = world.names(Kind::controller);
    power_off_all(world, controllers);
    if (world.chance(0.5))
      world.power_off(run.any(Kind::store));
    if (round == round_with_lost_disk)
      world.wipe(controllers[world.next_random() % controllers.size()]);
    world.run(500ms + world.below(1500ms));
    for (const auto& name : controllers) {
      world.start(name);
      world.node(name).disk.slow = world.chance(0.5) ? world.below(200ms) : 0ms;
    }
    start_all(world, world.names(Kind::store));
    if (revision)
      must_be_in_force(run, revision, 8000ms);
  }
  world.run(5000ms);
}

/// Two of three controllers lose their disks right after an acknowledgement; the third may return late. The core must
/// re-found itself and keep the acknowledged change.
void core_majority_lost(ScenarioRun& run) {
  auto& world = run.world;
  run.callers.traffic(150ms, world.now() + 25000ms);
  world.run(2000ms);
  auto acknowledged = change_configuration(run, kChangeTimeout);
  if (!acknowledged)
    world.fail("the change was not acknowledged");
  auto controllers = world.names(Kind::controller);
  auto survivor = controllers[world.next_random() % controllers.size()];
  auto others = all_except(controllers, survivor);
  for (const auto& name : others)
    world.wipe(name);
  world.run(500ms + world.below(1500ms));
  bool late = world.chance(0.5);
  if (late)
    world.power_off(survivor);
  start_all(world, others);
  world.run(late ? 4000ms : 0ms);
  world.start(survivor);
  world.run(12000ms);
  if (latest(world)->generation != 2)
    world.fail("the core was not re-founded");
  auto changed = change_configuration(run, kChangeTimeout);
  if (changed <= acknowledged)
    world.fail("no change is accepted after the core's re-founding");
  must_be_in_force(run, changed, kInForceLimit);
}

/// Two of three controllers are down; the operator re-founds the core, and then one of the two returns.
void rebuild(ScenarioRun& run) {
  auto& world = run.world;
  run.callers.traffic(150ms, world.now() + 25000ms);
  world.run(2000ms);
  auto acknowledged = change_configuration(run, kChangeTimeout);
  auto controllers = world.names(Kind::controller);
  auto survivor = controllers[world.next_random() % controllers.size()];
  auto others = all_except(controllers, survivor);
  refound(world, survivor, others);
  world.run(5000ms);
  auto changed = change_configuration(run, kChangeTimeout);
  if (changed <= acknowledged)
    world.fail("no change is accepted after the rebuild");
  world.start(others.front());
  world.run(5000ms);
  auto later = change_configuration(run, kChangeTimeout);
  if (later <= changed)
    world.fail("no change is accepted after an old member returned");
  must_be_in_force(run, later, kInForceLimit);
  for (const auto& name : others)
    world.wipe(name);
}

/// Right after an acknowledgement all disks of controllers and stores but one are lost. The remaining one was connected
/// and must be enough to recover the change. Histories are not guaranteed to survive this.
void survivor(ScenarioRun& run) {
  auto& world = run.world;
  run.closed = true;
  run.callers.traffic(150ms, world.now() + 4000ms);
  world.run(2000ms);
  auto disks = world.names(Kind::controller);
  for (const auto& name : world.names(Kind::store))
    disks.push_back(name);
  auto survivor = disks[world.next_random() % disks.size()];
  inject_store_fault(run, survivor);
  auto acknowledged = change_configuration(run, kChangeTimeout);
  if (!acknowledged)
    world.fail("the change was not acknowledged");
  lose_all_disks_except(world, disks, survivor);
  world.run(200ms + world.below(1000ms));
  start_everything(world);
  auto is_back = [&] {
    auto metadata = latest(world);
    return metadata && metadata->revision.value() >= acknowledged;
  };
  if (!world.until(25000ms, is_back))
    world.fail("the acknowledged revision " + std::to_string(acknowledged) + " did not survive on " + survivor);
  auto changed = change_configuration(run, 2 * kChangeTimeout);
  if (changed <= acknowledged)
    world.fail("no change is accepted after the loss, " + survivor + " stayed");
  else
    must_be_in_force(run, changed, kInForceLimit + 100ms);
}

/// The seeds are swapped for other controllers, one of which does not exist, and every daemon restarts.
void seeds_swapped(ScenarioRun& run) {
  auto& world = run.world;
  run.callers.traffic(100ms, world.now() + 25000ms);
  world.run(2000ms);
  world.seeds = {"controller4", "controller5", "controller99"};
  for (auto kind : {Kind::controller, Kind::store, Kind::agent}) {
    for (const auto& name : world.names(kind)) {
      world.kill(name);
      world.run(200ms);
      world.start(name);
      world.run(1200ms);
    }
  }
  world.run(5000ms);
  if (!change_configuration(run, kChangeTimeout))
    world.fail("no change is accepted with swapped seeds");
}

}  // namespace mosskeel::sim
