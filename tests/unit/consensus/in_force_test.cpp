// When an epoch is in force, given what the daemons have reported to one controller.
#include "consensus/in_force.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

namespace {

constexpr TimePoint kStart{1000ms};
constexpr Epoch kEpoch{5};
/// The number of the only store in the default fleet.
constexpr uint64_t kStore = 7;

/// Number of daemons of each role; controllers are numbered first, then gateways, then stores.
struct FleetSize {
  uint64_t controllers = 3;
  uint64_t gateways = 3;
  uint64_t stores = 1;

  uint64_t daemons() const { return controllers + gateways + stores; }
  uint64_t first_gateway() const { return controllers + 1; }
  uint64_t first_store() const { return controllers + gateways + 1; }
};

constexpr FleetSize kManyGateways{.controllers = 3, .gateways = 9, .stores = 3};

/// Daemon `number`, whose incarnation equals its number.
DaemonInfo numbered_daemon(uint64_t number, Role role) {
  std::string address = "daemon" + std::to_string(number);
  return {Incarnation{number}, role, "zone", address, "", "", address};
}

/// By default three controllers (1 to 3), three gateways (4 to 6) and one store (7), as observed by controller 1, which
/// knows the epoch.
struct Fleet {
  FleetSize size;
  Metadata metadata;
  FailureDetector detector{kStart};
  TimePoint now = kStart;

  explicit Fleet(FleetSize fleet_size = {}) : size(fleet_size) {
    metadata.cluster = 7;
    metadata.epoch = kEpoch;
    for (uint64_t number = 1; number <= size.daemons(); ++number) {
      Role role = role_of(number);
      DaemonId id{number};
      metadata.directory[id] = {id, numbered_daemon(number, role), DaemonState::up, Epoch{1}};
      metadata.quorum_members.push_back(id);
      if (role == Role::controller)
        metadata.members.push_back(id);
    }
  }

  /// The controller receives a heartbeat from a daemon that knows this epoch.
  void receive_heartbeat(uint64_t number, Epoch known) {
    Heartbeat heartbeat{};
    heartbeat.self = metadata.directory.at(DaemonId{number}).self;
    heartbeat.known = known;
    detector.record(heartbeat, now);
  }

  /// What the epoch lacks to be in force; empty if it is in force.
  std::string missing() { return missing_acknowledgements(metadata, Incarnation{1}, detector, kEpoch, now); }

 private:
  Role role_of(uint64_t number) const {
    if (number < size.first_gateway())
      return Role::controller;
    return number < size.first_store() ? Role::gateway : Role::store;
  }
};

}  // namespace

TEST_CASE("An epoch is not in force without a majority of the core") {
  Fleet fleet;
  for (uint64_t number = 4; number <= 7; ++number)
    fleet.receive_heartbeat(number, kEpoch);

  CHECK(fleet.missing() == "no majority of the core has it; missing: 2 3");
}

TEST_CASE("An epoch is not in force without a majority of the fleet or of its stores") {
  Fleet fleet;
  fleet.receive_heartbeat(2, kEpoch);
  fleet.receive_heartbeat(3, kEpoch);

  CHECK(fleet.missing() == "no majority of the fleet or of its stores has it; missing: 4 5 6 7");
}

// Guards against a fault in which no change was acknowledged any more after most gateways were lost, because they
// counted in the required majority.
TEST_CASE("An epoch is in force without most gateways once majorities of the core and of the stores know it") {
  Fleet fleet(kManyGateways);
  auto first_store = fleet.size.first_store();
  fleet.receive_heartbeat(2, kEpoch);
  fleet.receive_heartbeat(fleet.size.first_gateway(), kEpoch);
  fleet.receive_heartbeat(first_store, kEpoch);

  CHECK(fleet.missing().starts_with("no majority of the fleet or of its stores has it"));

  fleet.now += kHeartbeatTimeout;
  fleet.receive_heartbeat(first_store + 1, kEpoch);

  CHECK(fleet.missing().empty());
}

TEST_CASE("An epoch is in force without most stores once a majority of the fleet knows it") {
  Fleet fleet(kManyGateways);
  fleet.now += kHeartbeatTimeout;
  fleet.receive_heartbeat(2, kEpoch);
  for (auto gateway = fleet.size.first_gateway(); gateway < fleet.size.first_store() - 3; ++gateway)
    fleet.receive_heartbeat(gateway, kEpoch);

  CHECK(fleet.missing().empty());
}

TEST_CASE("During a quorum change an epoch needs a majority of the members or of the stores of both sets") {
  Fleet fleet(kManyGateways);
  auto first_store = fleet.size.first_store();
  fleet.metadata.incoming_quorum_members = fleet.metadata.quorum_members;
  fleet.metadata.quorum_members = fleet.metadata.members;
  fleet.now += kHeartbeatTimeout;
  fleet.receive_heartbeat(2, kEpoch);

  CHECK_FALSE(fleet.missing().empty());

  fleet.receive_heartbeat(first_store, kEpoch);
  fleet.receive_heartbeat(first_store + 1, kEpoch);

  CHECK(fleet.missing().empty());
}

TEST_CASE("An epoch is not in force while a reachable store lacks it, and is once its heartbeats are missed") {
  Fleet fleet;
  fleet.receive_heartbeat(7, Epoch{kEpoch.value() - 1});
  fleet.now += kHeartbeatTimeout - 1ms;
  for (uint64_t number = 2; number <= 5; ++number)
    fleet.receive_heartbeat(number, kEpoch);

  CHECK_FALSE(fleet.missing().empty());

  fleet.now += 1ms;

  CHECK(fleet.missing().empty());
}

TEST_CASE("An epoch stays in force when a late heartbeat reports an earlier epoch") {
  Fleet fleet;
  for (uint64_t number = 2; number <= 7; ++number)
    fleet.receive_heartbeat(number, kEpoch);
  REQUIRE(fleet.missing().empty());

  fleet.receive_heartbeat(2, Epoch{1});

  CHECK(fleet.missing().empty());
}

TEST_CASE("FailureDetector reports a daemon as superseded while another incarnation sends heartbeats at its address") {
  Fleet fleet;
  const Daemon& store = fleet.metadata.directory.at(DaemonId{kStore});
  fleet.receive_heartbeat(kStore, kEpoch);

  CHECK_FALSE(fleet.detector.superseded(store, fleet.now));

  fleet.now += 1ms;
  Heartbeat of_successor{};
  of_successor.self = store.self;
  of_successor.self.incarnation = Incarnation{70};
  fleet.detector.record(of_successor, fleet.now);

  CHECK(fleet.detector.superseded(store, fleet.now));
  CHECK_FALSE(fleet.detector.superseded(store, fleet.now + kHeartbeatTimeout));

  fleet.now += 1ms;
  fleet.receive_heartbeat(kStore, kEpoch);

  CHECK_FALSE(fleet.detector.superseded(store, fleet.now));
}
