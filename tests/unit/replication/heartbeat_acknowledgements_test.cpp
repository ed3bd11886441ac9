// When a gateway is in contact with a majority: of the core, or otherwise of both the fleet and its stores.
#include "replication/heartbeat_acknowledgements.hpp"

#include "unit/catch.hpp"

using namespace mosskeel;

namespace {

constexpr uint64_t kControllers = 3;
constexpr uint64_t kGateways = 9;
constexpr uint64_t kStores = 3;
constexpr uint64_t kFirstGateway = kControllers + 1;
constexpr uint64_t kFirstStore = kFirstGateway + kGateways;
constexpr Epoch kEpoch{5};
constexpr TimePoint kStart{1000ms};
constexpr TimePoint kSent{5000ms};

Role role_of(uint64_t number) {
  if (number < kFirstGateway)
    return Role::controller;
  return number < kFirstStore ? Role::gateway : Role::store;
}

/// Daemon `number`, whose incarnation equals its number.
DaemonInfo numbered_daemon(uint64_t number) {
  std::string address = "daemon" + std::to_string(number);
  std::string agent = role_of(number) == Role::gateway ? address + "-agent" : "";
  return {Incarnation{number}, role_of(number), "zone", address, agent, "", address};
}

/// Three controllers, nine gateways and `stores` stores, all of them quorum members.
Metadata fleet_with(uint64_t stores) {
  Metadata metadata{};
  metadata.cluster = 7;
  metadata.epoch = kEpoch;
  for (uint64_t number = 1; number < kFirstStore + stores; ++number) {
    DaemonId id{number};
    metadata.directory[id] = {id, numbered_daemon(number), DaemonState::up, Epoch{1}};
    metadata.quorum_members.push_back(id);
    if (number < kFirstGateway)
      metadata.members.push_back(id);
  }
  return metadata;
}

/// The agent of the first gateway, which receives replies to its heartbeats.
class Agent {
 public:
  explicit Agent(uint64_t stores = kStores) { log_.install_snapshot(fleet_with(stores)); }

  /// `count` daemons, beginning with number `first`, answer the heartbeat sent at `kSent`.
  void receive_answers(uint64_t first, uint64_t count) {
    for (auto number = first; number < first + count; ++number) {
      auto daemon = numbered_daemon(number);
      const auto& from = daemon.agent_address.empty() ? daemon.address : daemon.agent_address;
      acknowledgements_.record(from, daemon.incarnation, kEpoch, kSent);
    }
  }

  bool has_contact() const { return acknowledgements_.last_majority_contact() == kSent; }

 private:
  static DaemonInfo self() {
    DaemonInfo self = numbered_daemon(kFirstGateway);
    std::swap(self.address, self.agent_address);
    return self;
  }

  MetadataLog log_;
  DaemonInfo self_ = self();
  HeartbeatAcknowledgements acknowledgements_{log_, self_, kStart};
};

}  // namespace

TEST_CASE("HeartbeatAcknowledgements counts a majority of the core as contact") {
  Agent agent;
  agent.receive_answers(1, 1);

  CHECK_FALSE(agent.has_contact());

  agent.receive_answers(2, 1);

  CHECK(agent.has_contact());
}

// If most gateways are lost, the core and the stores suffice to acknowledge a change. Gateways that are in contact with
// each other but with too few stores may not know of such a change.
TEST_CASE("HeartbeatAcknowledgements needs a majority of the stores and of the fleet if the core is silent") {
  Agent agent;
  agent.receive_answers(kFirstGateway + 1, kGateways - 1);
  agent.receive_answers(kFirstStore, 1);

  CHECK_FALSE(agent.has_contact());

  agent.receive_answers(kFirstStore + 1, 1);

  CHECK(agent.has_contact());
}

TEST_CASE("HeartbeatAcknowledgements needs a majority of the fleet even with all stores if the core is silent") {
  Agent agent;
  agent.receive_answers(kFirstStore, kStores);
  agent.receive_answers(kFirstGateway + 1, 4);

  CHECK_FALSE(agent.has_contact());

  agent.receive_answers(kFirstGateway + 5, 1);

  CHECK(agent.has_contact());
}

TEST_CASE("HeartbeatAcknowledgements counts a majority of a fleet without stores as contact") {
  Agent agent(0);
  agent.receive_answers(kFirstGateway + 1, 5);

  CHECK_FALSE(agent.has_contact());

  agent.receive_answers(kFirstGateway + 6, 1);

  CHECK(agent.has_contact());
}
