// Core membership on simulated controllers: founding, growth, replacement and re-founding.
#include <algorithm>

#include "consensus/constants.hpp"
#include "messages/constants.hpp"
#include "runtime/constants.hpp"
#include "simulation/scenario_run.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;
using sim::Kind;
using sim::World;

namespace {

/// The shortest catch-up time that the settings of a deployment allow a successor.
constexpr Duration kCatchUpTime = 4200ms;
/// Time after which a cluster is founded and its supervisor active.
constexpr Duration kFoundingTime = 8000ms;
/// A core of four is founded and complete within this time of the first start.
constexpr Duration kFullCoreTimeout = 12000ms;
/// A returning member is in the core again within this time.
constexpr Duration kReadmissionTimeout = 8000ms;

/// Number of members with which a cluster is founded.
constexpr uint32_t kCoreSize = 3;

const std::set<std::string> kFirstThree{"controller1", "controller2", "controller3"};

/// A simulated world with controllers only, restarted on empty disks with these settings.
struct SimulatedControllers {
  World world;

  enum class Start { first, later };

  SimulatedControllers(uint64_t seed, int controllers, Start start = Start::first)
      : world(seed, {controllers, 0, 0, 0, 3, 0}) {
    world.configure = [=](Identity& identity) {
      identity.core_size = kCoreSize;
      identity.max_core_size = kMaxCoreSize;
      identity.forbid_founding = start == Start::later;
    };
    for (const std::string& name : names()) {
      world.wipe(name);
      world.start(name);
    }
  }

  std::vector<std::string> names() { return world.names(Kind::controller); }
  MetadataSnapshot metadata() { return sim::latest(world); }

  /// Forbids controllers that start from now on to found a cluster with an empty disk.
  void forbid_founding_on_empty_disks() {
    auto first_settings = world.configure;
    world.configure = [first_settings](Identity& identity) {
      first_settings(identity);
      identity.forbid_founding = true;
    };
  }

  void partition(const std::vector<std::string>& one_side, const std::vector<std::string>& other_side) {
    for (const std::string& one : one_side) {
      for (const std::string& other : other_side) {
        world.cut(one, other);
        world.cut(other, one);
      }
    }
  }

  /// The ids of all clusters that running controllers belong to.
  std::set<uint64_t> clusters() {
    std::set<uint64_t> clusters;
    for (const std::string& name : names()) {
      const sim::Node& node = world.node(name);
      if (node.machine && node.machine->view()->cluster)
        clusters.insert(node.machine->view()->cluster);
    }
    return clusters;
  }

  /// The addresses of the core members.
  std::set<std::string> members() {
    MetadataSnapshot latest = metadata();
    std::set<std::string> addresses;
    for (DaemonId id : latest->members)
      addresses.insert(latest->find(id)->self.address);
    return addresses;
  }

  bool wait_for_members(Duration timeout, const std::set<std::string>& expected) {
    return world.until(timeout, [&] { return members() == expected; });
  }

  bool wait_for_member_count(Duration timeout, size_t expected) {
    return world.until(timeout, [&] { return metadata()->members.size() == expected; });
  }

  /// The controller that holds the supervisor lease; empty if none does.
  std::string supervisor() {
    for (const std::string& name : names()) {
      const sim::Node& node = world.node(name);
      if (node.machine && static_cast<ControllerMachine&>(*node.machine).is_supervisor(world.clock(node)))
        return name;
    }
    return "";
  }

  void check_no_failures() {
    for (const std::string& failure : world.failures)
      FAIL_CHECK(failure);
  }
};

}  // namespace

TEST_CASE("Founding creates one cluster, from the seeds only, despite a network partition at the first start") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    SimulatedControllers cluster(seed, 5);
    cluster.partition({"controller1", "controller2"}, {"controller3", "controller4", "controller5"});
    cluster.world.run(20000ms);

    CHECK(cluster.clusters().size() == 1);

    cluster.world.heal();
    cluster.world.run(10000ms);

    CHECK(cluster.clusters().size() == 1);
    cluster.check_no_failures();
  }
}

TEST_CASE("Founding creates one cluster in any start order of the controllers") {
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    INFO("seed " << seed);
    SimulatedControllers cluster(seed, 6);
    for (const std::string& name : cluster.names()) {
      cluster.world.kill(name);
      Duration latest_start = seed % 2 ? 400ms : 9000ms;
      cluster.world.at(cluster.world.now() + cluster.world.below(latest_start),
                       [&cluster, name] { cluster.world.start(name); });
    }
    cluster.world.net.loss = seed % 3 ? 0 : 0.2;
    for (int i = 0; i < 4; ++i) {
      auto names = cluster.names();
      cluster.world.cut(names[cluster.world.next_random() % names.size()],
                        names[cluster.world.next_random() % names.size()]);
    }
    cluster.world.run(15000ms);
    cluster.world.heal();
    cluster.world.net.loss = 0;
    cluster.world.run(10000ms);

    CHECK(cluster.clusters().size() == 1);
    cluster.check_no_failures();
  }
}

TEST_CASE("Founding never happens on empty disks at a later start") {
  SimulatedControllers cluster(3, 3, SimulatedControllers::Start::later);

  cluster.world.run(60000ms);

  CHECK(cluster.clusters().empty());
}

TEST_CASE("Founding that was interrupted is resumed from the disks at a later start") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    SimulatedControllers cluster(seed, 3);
    cluster.world.run(300ms + cluster.world.below(600ms));
    cluster.forbid_founding_on_empty_disks();
    for (const std::string& name : cluster.names()) {
      cluster.world.kill(name);
      cluster.world.start(name);
    }
    cluster.world.run(10000ms);
    CHECK(cluster.clusters().size() == 1);
    cluster.check_no_failures();
  }
}

TEST_CASE("Founding counts no second vote of a controller whose disk was wiped in between") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    SimulatedControllers cluster(seed, 3);
    cluster.partition({"controller1"}, {"controller3"});
    cluster.world.run(1000ms + cluster.world.below(900ms));
    cluster.forbid_founding_on_empty_disks();
    cluster.world.wipe("controller2");
    cluster.world.heal();
    cluster.partition({"controller1"}, {"controller2", "controller3"});
    cluster.world.start("controller2");
    cluster.world.run(15000ms);
    cluster.world.heal();
    cluster.world.run(10000ms);

    CHECK(cluster.clusters().size() == 1);
    cluster.check_no_failures();
  }
}

TEST_CASE("CoreMembershipPolicy admits all running controllers one at a time, up to the maximum core size") {
  SimulatedControllers cluster(5, 5);
  auto names = cluster.names();
  std::set<std::string> all(names.begin(), names.end());
  size_t members_before = 0;
  auto grows_by_one_to_five = [&] {
    MetadataSnapshot metadata = cluster.metadata();
    if (!metadata)
      return false;
    size_t members = metadata->members.size();
    if (metadata->cluster && members_before && members > members_before + 1)
      FAIL_CHECK("two members were added at once");
    if (metadata->cluster)
      members_before = members;
    return members == 5;
  };

  CHECK(cluster.world.until(15000ms, grows_by_one_to_five));
  CHECK(cluster.members() == all);

  for (int i = 6; i <= 11; ++i)
    cluster.world.add("controller" + std::to_string(i), Kind::controller, "a");
  cluster.world.run(30000ms);

  CHECK(cluster.members().size() == kMaxCoreSize);
  cluster.check_no_failures();
}

TEST_CASE("CoreMembershipPolicy replaces a lost member within the catch-up time of its successor's start") {
  Duration longest{};
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    INFO("seed " << seed);
    SimulatedControllers cluster(seed, 3);
    cluster.forbid_founding_on_empty_disks();
    cluster.world.run(kFoundingTime);
    REQUIRE(cluster.members() == kFirstThree);
    std::string lost = "controller" + std::to_string(1 + seed % 3);
    cluster.world.power_off(lost);
    cluster.world.run(cluster.world.below(2000ms));
    cluster.world.add("controller9", Kind::controller, "a");
    std::set<std::string> expected = kFirstThree;
    expected.erase(lost);
    expected.insert("controller9");
    TimePoint start = cluster.world.now();

    CHECK(cluster.wait_for_members(2 * kCatchUpTime, expected));
    longest = std::max(longest, cluster.world.now() - start);
    cluster.check_no_failures();
  }
  INFO("longest " << longest.count() << " ms");
  CHECK(longest <= kCatchUpTime);
}

TEST_CASE("CoreMembershipPolicy replaces a member that returns with an empty disk by itself within the catch-up time") {
  Duration longest{};
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    INFO("seed " << seed);
    SimulatedControllers cluster(seed, 3);
    cluster.forbid_founding_on_empty_disks();
    cluster.world.run(kFoundingTime);
    REQUIRE(cluster.members() == kFirstThree);
    std::string lost = "controller" + std::to_string(1 + seed % 3);
    cluster.world.wipe(lost);
    cluster.world.run(cluster.world.below(2000ms));
    cluster.world.start(lost);
    TimePoint start = cluster.world.now();
    Incarnation incarnation = cluster.world.node(lost).id.self.incarnation;

    CHECK(cluster.world.until(2 * kCatchUpTime, [&] { return cluster.metadata()->is_core_member(incarnation); }));
    longest = std::max(longest, cluster.world.now() - start);
    cluster.check_no_failures();
  }
  INFO("longest " << longest.count() << " ms");
  CHECK(longest <= kCatchUpTime);
}

TEST_CASE(
    "CoreMembershipPolicy replaces two lost members, one after the other, and the core then survives a third loss") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    SimulatedControllers cluster(seed, 3);
    cluster.forbid_founding_on_empty_disks();
    cluster.world.run(kFoundingTime);
    for (int i = 1; i <= 2; ++i) {
      std::string lost = "controller" + std::to_string(i);
      cluster.world.power_off(lost);
      cluster.world.add("controller" + std::to_string(6 + i), Kind::controller, "a");
      cluster.world.run(kCatchUpTime);
    }

    CHECK(cluster.members() == std::set<std::string>{"controller3", "controller7", "controller8"});

    Epoch before = cluster.metadata()->epoch;
    cluster.world.power_off("controller3");

    CHECK(cluster.world.until(6000ms, [&] { return cluster.metadata()->epoch > before; }));
    cluster.check_no_failures();
  }
}

TEST_CASE("CoreMembershipPolicy removes a lost member of a grown core, so that it does not count in the majority") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    SimulatedControllers cluster(seed, 4);
    cluster.forbid_founding_on_empty_disks();
    REQUIRE(cluster.wait_for_member_count(kFullCoreTimeout, 4));
    std::string lost = "controller" + std::to_string(1 + seed % 4);
    cluster.world.power_off(lost);

    CHECK(cluster.wait_for_member_count(5000ms, 3));

    cluster.world.start(lost);
    CHECK(cluster.wait_for_member_count(kReadmissionTimeout, 4));
    cluster.check_no_failures();
  }
}

TEST_CASE("A member that is suspended for a minute or repeatedly neither forks the log nor stays out of the core") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    SimulatedControllers cluster(seed, 4);
    cluster.forbid_founding_on_empty_disks();
    REQUIRE(cluster.wait_for_member_count(kFullCoreTimeout, 4));
    std::string frozen = "controller" + std::to_string(1 + seed % 4);
    cluster.world.freeze(frozen);
    cluster.world.run(60000ms);
    cluster.world.wake(frozen);

    CHECK(cluster.world.until(kReadmissionTimeout, [&] { return cluster.members().size() == 4; }));

    Epoch epoch = cluster.metadata()->epoch;
    for (int i = 0; i < 10; ++i) {
      cluster.world.freeze(frozen);
      cluster.world.run(1500ms);
      cluster.world.wake(frozen);
      cluster.world.run(300ms);
    }

    CHECK(cluster.metadata()->epoch.value() <= epoch.value() + 4);

    cluster.world.run(8000ms);
    CHECK(cluster.members().size() == 4);
    CHECK(cluster.clusters().size() == 1);
    cluster.check_no_failures();
  }
}

TEST_CASE("Refounding does not treat a member that is suspended for a minute as lost") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    SimulatedControllers cluster(seed, 3);
    cluster.forbid_founding_on_empty_disks();
    cluster.world.run(kFoundingTime);
    cluster.world.freeze("controller1");
    cluster.world.wipe("controller2");
    cluster.world.run(1000ms);
    cluster.world.start("controller2");
    cluster.world.run(60000ms);

    CHECK(cluster.metadata()->generation == 1);

    cluster.world.wake("controller1");
    cluster.world.run(10000ms);

    CHECK(cluster.metadata()->generation == 1);
    CHECK(cluster.members() == kFirstThree);
    CHECK(cluster.clusters().size() == 1);
    cluster.check_no_failures();
  }
}

namespace {

void send_discover(SimulatedControllers& cluster, const DaemonInfo& sender, const std::string& receiver) {
  Envelope envelope{};
  envelope.protocol = kProtocolRevision;
  envelope.cluster = cluster.metadata()->cluster;
  envelope.from = sender.address;
  envelope.from_incarnation = sender.incarnation;
  envelope.to = receiver;
  envelope.body = Discover{sender};
  cluster.world.post(receiver, envelope);
}

}  // namespace

TEST_CASE("Refounding does not take delayed messages of a member's predecessor as proof that the member is lost") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    SimulatedControllers cluster(seed, 3);
    cluster.forbid_founding_on_empty_disks();
    cluster.world.run(kFoundingTime);
    std::vector<DaemonInfo> predecessors;
    for (const std::string name : {"controller2", "controller3"}) {
      predecessors.push_back(cluster.world.node(name).id.self);
      cluster.world.wipe(name);
      cluster.world.run(500ms);
      cluster.world.start(name);
      cluster.world.run(9000ms);
    }
    REQUIRE(cluster.members() == kFirstThree);
    cluster.partition({"controller1"}, {"controller2", "controller3"});

    for (int i = 0; i < 100; ++i) {
      for (const DaemonInfo& predecessor : predecessors)
        send_discover(cluster, predecessor, "controller1");
      cluster.world.run(100ms);
    }

    CHECK(cluster.metadata()->generation == 1);

    cluster.world.heal();
    cluster.world.run(10000ms);

    CHECK(cluster.clusters().size() == 1);
    cluster.check_no_failures();
  }
}

namespace {

/// Wipes the disks of `lost`, waits for the resulting re-founding and, after a pause, restores the old disks of
/// `restored`.
void refound_and_restore_disks(SimulatedControllers& cluster, const std::vector<std::string>& lost,
                               const std::vector<std::string>& restored, Duration pause) {
  struct OldDisk {
    Incarnation incarnation;
    sim::SimDisk content;
  };
  std::map<std::string, OldDisk> old_disks;
  for (const std::string& name : lost) {
    const sim::Node& node = cluster.world.node(name);
    cluster.world.power_off(name);
    old_disks[name] = {node.id.self.incarnation, node.disk};
    cluster.world.wipe(name);
    cluster.world.start(name);
  }
  REQUIRE(cluster.world.until(15000ms, [&] { return cluster.metadata()->generation == 2; }));
  cluster.world.run(pause);
  for (const std::string& name : restored) {
    cluster.world.wipe(name);
    sim::Node& node = cluster.world.node(name);
    node.id.self.incarnation = old_disks[name].incarnation;
    node.disk = old_disks[name].content;
    cluster.world.start(name);
  }
}

}  // namespace

TEST_CASE("A controller whose old disk returns after a re-founding catches up and is admitted again") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    SimulatedControllers cluster(seed, 3);
    cluster.forbid_founding_on_empty_disks();
    cluster.world.run(kFoundingTime);
    refound_and_restore_disks(cluster, {"controller2", "controller3"}, {"controller3"}, seed % 2 ? 5000ms : 200ms);
    cluster.world.run(20000ms);

    CHECK(cluster.metadata()->generation == 2);
    CHECK(cluster.members() == kFirstThree);
    CHECK(cluster.metadata()->is_core_member(cluster.world.node("controller3").id.self.incarnation));
    CHECK(cluster.clusters().size() == 1);
    cluster.check_no_failures();
  }
}

TEST_CASE("A majority of old disks that returns after a re-founding does not fork the cluster") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    SimulatedControllers cluster(seed, 3);
    cluster.forbid_founding_on_empty_disks();
    cluster.world.run(kFoundingTime);
    refound_and_restore_disks(cluster, {"controller2", "controller3"}, {"controller2", "controller3"},
                              seed % 2 ? 5000ms : 200ms);
    cluster.world.run(20000ms);

    CHECK(cluster.metadata()->generation >= 2);
    CHECK(cluster.clusters().size() == 1);
    cluster.check_no_failures();
  }
}

TEST_CASE("GracefulShutdown hands over the lease and lets the core remove the member") {
  Duration longest{};
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    SimulatedControllers cluster(seed, 4);
    cluster.forbid_founding_on_empty_disks();
    REQUIRE(cluster.wait_for_member_count(kFullCoreTimeout, 4));
    REQUIRE(cluster.world.until(5000ms, [&] { return !cluster.supervisor().empty(); }));
    std::string leaving = cluster.supervisor();
    TimePoint start = cluster.world.now();
    sim::Node& node = cluster.world.node(leaving);
    static_cast<ControllerMachine&>(*node.machine).begin_shutdown(cluster.world.clock(node));

    CHECK(cluster.world.until(1000ms, [&] { return !node.machine; }));
    CHECK(cluster.world.until(2000ms,
                              [&] { return cluster.members().count(leaving) == 0 && !cluster.supervisor().empty(); }));

    longest = std::max(longest, cluster.world.now() - start);

    cluster.world.start(leaving);

    CHECK(cluster.wait_for_member_count(kReadmissionTimeout, 4));
    cluster.check_no_failures();
  }
  INFO("longest " << longest.count() << " ms");
  CHECK(longest < kSupervisorLeaseDuration);
}
