// Scenarios in which parts of the fleet are partitioned from each other while operators reach the core.
#include "simulation/scenario_functions.hpp"

namespace mosskeel::sim {
namespace {

/// The group that is cut off from all others, selected by a random number. `core_outbound` cuts only messages from the
/// core, `core_inbound` only messages to it.
enum class CutGroup : uint64_t { core, core_and_some, core_outbound, core_inbound, some };
constexpr uint64_t kCutGroups = 5;
/// Probability that a daemon joins the group where the group includes random daemons.
constexpr double kJoinsGroup = 0.4;

struct Directions {
  bool outward = true;
  bool inward = true;
};

/// Cuts all links between the group and the others.
void cut_off(World& world, const std::set<std::string>& group, Directions directions) {
  for (const auto& other : world.all_names()) {
    if (group.count(other))
      continue;
    for (const auto& member : group) {
      if (directions.outward)
        world.cut(member, other);
      if (directions.inward)
        world.cut(other, member);
    }
  }
}

/// Adds a daemon to the group; a gateway and its agent are added together.
void join(World& world, std::set<std::string>& group, const std::string& name) {
  group.insert(name);
  const auto& beside = world.node(name).beside;
  if (!beside.empty())
    group.insert(beside);
}

std::set<std::string> choose_group(World& world, CutGroup kind) {
  std::set<std::string> group;
  if (kind != CutGroup::some)
    for (const auto& name : world.names(Kind::controller))
      group.insert(name);
  if (kind != CutGroup::core_and_some && kind != CutGroup::some)
    return group;
  for (auto role : {Kind::controller, Kind::store, Kind::gateway})
    for (const auto& name : world.names(role))
      if (world.chance(kJoinsGroup))
        join(world, group, name);
  return group;
}

/// Drains a replica, evacuates a zone and changes the configuration through whatever controllers operators reach.
void operate(ScenarioRun& run, const std::string& replica, const std::string& zone) {
  constexpr Duration timeout = 5000ms;
  auto ignore = [](const CommitReply&) {
  };
  run.callers.set_replica(replica, ReplicaHealth::draining, ignore, timeout);
  run.callers.commit(EvacuateZone{zone}, ignore, "", timeout);
  change_configuration(run, timeout);
}

/// Cuts off one group, operates meanwhile and heals the network.
void cut_core(ScenarioRun& run, int round) {
  constexpr uint64_t min_successes = 20;
  auto& world = run.world;
  auto kind = static_cast<CutGroup>(world.next_random() % kCutGroups);
  Directions directions{.outward = kind != CutGroup::core_inbound, .inward = kind != CutGroup::core_outbound};
  cut_off(world, choose_group(world, kind), directions);
  auto replica = "model" + std::to_string(round + 1);
  std::string zone(1, static_cast<char>('a' + round % 3));
  auto before = run.callers.totals.successes;
  world.run(world.below(300ms));
  operate(run, replica, zone);
  world.run(2500ms + world.below(4000ms));
  auto served = run.callers.totals.successes - before;
  if (kind == CutGroup::core && served < min_successes)
    world.fail("too few successes without the core: " + std::to_string(served));
  world.heal();
  world.run(2500ms);
  run.callers.set_replica(replica, ReplicaHealth::ready);
  run.callers.commit(RestoreZone{zone}, [](const CommitReply&) {});
  world.run(1500ms);
}

}  // namespace

/// The core is cut off from the fleet, whole or with some daemons, both ways or one, and daemons in every grouping;
/// operators reach the core meanwhile and drain, evacuate and configure.
void core_cut(ScenarioRun& run) {
  auto& world = run.world;
  run.callers.traffic(60ms, world.now() + 60000ms);
  for (int round = 0; round < 4; ++round) {
    world.run(1000ms + world.below(1000ms));
    cut_core(run, round);
  }
  world.run(3000ms);
}

/// All gateways, a majority of the fleet, are cut off from the core and the stores while operators reach the core:
/// changes are acknowledged without the gateways, so no gateway may continue with its old metadata.
void gateways_cut(ScenarioRun& run) {
  constexpr Duration acknowledgement_limit = 4000ms;
  auto& world = run.world;
  std::set<std::string> cut_group;
  for (auto kind : {Kind::controller, Kind::store})
    for (const auto& name : world.names(kind))
      cut_group.insert(name);
  run.callers.traffic(60ms, world.now() + 40000ms);
  for (int round = 0; round < 3; ++round) {
    world.run(2000ms + world.below(1000ms));
    cut_off(world, cut_group, {});
    world.run(world.below(300ms));
    auto revision = change_configuration(run, acknowledgement_limit);
    if (!revision)
      world.fail("no change was acknowledged while the gateways were cut off");
    world.run(2500ms + world.below(1000ms));
    world.heal();
    must_be_in_force(run, revision, 4000ms);
  }
  world.run(3000ms);
}

}  // namespace mosskeel::sim
