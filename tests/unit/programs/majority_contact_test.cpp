// Tests how long a gateway dispatches requests after it has learned that its metadata is outdated.
#include "messages/constants.hpp"
#include "programs/gateway_machine.hpp"
#include "replication/constants.hpp"
#include "runtime/constants.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

namespace {

constexpr TimePoint kStart = kProcessClockStart;

DaemonInfo candidate(uint64_t incarnation, Role role, const std::string& address, const std::string& agent = "") {
  return {Incarnation{incarnation}, role, "zone", address, agent, "http-" + address, address};
}

/// A gateway that has just received the newest metadata from its agent.
class ConnectedGateway {
 public:
  ConnectedGateway() {
    commit(FoundCluster{7, 1, {candidate(1, Role::controller, "controller")}});
    commit(Register{self_});
    answer_heartbeat(kStart, metadata_.epoch, metadata_);
  }

  Epoch epoch() const { return metadata_.epoch; }
  Entry next_entry() const { return {next(metadata_.epoch), "", Register{candidate(31, Role::store, "store")}}; }

  /// Receives the agent's reply to a heartbeat that was sent at this time.
  void answer_heartbeat(TimePoint sent, Epoch epoch, std::optional<Metadata> checkpoint = std::nullopt) {
    HeartbeatReply reply{epoch, std::move(checkpoint), {}, 0, true, to_milliseconds(sent)};
    machine.step(envelope(epoch, std::move(reply)), sent);
  }

  /// Receives a message from a daemon that knows this epoch, which the gateway may lack.
  Actions receive_at_epoch(Epoch epoch, TimePoint now) {
    return machine.step(envelope(epoch, ProgramRequestAcknowledgement{"unknown attempt"}), now);
  }

  void receive_entry(const Entry& entry, TimePoint now) { machine.step(envelope(entry.epoch, Decided{entry}), now); }

 private:
  void commit(const Transformation& transformation) {
    auto result = apply(metadata_, {next(metadata_.epoch), "", transformation});
    REQUIRE(result.ok());
    metadata_ = result.value();
  }

  Envelope envelope(Epoch epoch, Message body) const {
    return {kProtocolRevision, metadata_.cluster, epoch,          1, "agent", Incarnation{},
            "gateway",         self_.incarnation, std::move(body)};
  }

  Metadata metadata_{};
  DaemonInfo self_ = candidate(21, Role::gateway, "gateway", "agent");

 public:
  GatewayMachine machine{Identity{self_, {}}, kStart};
};

size_t catchup_requests(const Actions& actions) {
  return static_cast<size_t>(std::count_if(actions.now.begin(), actions.now.end(), [](const Envelope& envelope) {
    return std::holds_alternative<Catchup>(envelope.body);
  }));
}

}  // namespace

TEST_CASE("GatewayMachine dispatches for a limited time after it has learned of a later epoch") {
  ConnectedGateway gateway;
  const auto& machine = gateway.machine;

  CHECK(machine.has_majority_contact(kStart));

  gateway.receive_at_epoch(next(gateway.epoch()), kStart + 10ms);

  auto limit = kStart + 10ms + kIsolationTimeout / 2;
  CHECK(machine.has_majority_contact(kStart + 11ms));
  CHECK(machine.routing_snapshot(kStart + 11ms).dispatch_until > kStart + 11ms);
  CHECK_FALSE(machine.has_majority_contact(limit));
  CHECK(machine.routing_snapshot(kStart + 11ms).dispatch_until <= limit);
}

TEST_CASE("GatewayMachine does not extend the limit on dispatching when it learns of further epochs") {
  ConnectedGateway gateway;

  for (uint64_t i = 0; i < 20; ++i) {
    Epoch later{gateway.epoch().value() + 1 + i};
    gateway.receive_at_epoch(later, kStart + 10ms + Duration(50 * i));
  }

  CHECK_FALSE(gateway.machine.has_majority_contact(kStart + 10ms + kIsolationTimeout / 2));
}

TEST_CASE("GatewayMachine counts a contact at an epoch that it lacks only once it has the entry") {
  ConnectedGateway gateway;
  const auto& machine = gateway.machine;
  auto entry = gateway.next_entry();

  gateway.answer_heartbeat(kStart + 1500ms, entry.epoch);
  CHECK(machine.has_majority_contact(kStart + kIsolationTimeout - 1ms));
  CHECK_FALSE(machine.has_majority_contact(kStart + kIsolationTimeout));

  gateway.receive_entry(entry, kStart + 1600ms);
  CHECK(machine.has_majority_contact(kStart + kIsolationTimeout + 1ms));
  CHECK_FALSE(machine.has_majority_contact(kStart + 1500ms + kIsolationTimeout));
}

TEST_CASE("GatewayMachine requests a missing epoch once, and again if no reply arrives") {
  ConnectedGateway gateway;
  auto missing = next(gateway.epoch());

  size_t requests = 0;
  for (Duration elapsed{}; elapsed < 100ms; ++elapsed)
    requests += catchup_requests(gateway.receive_at_epoch(missing, kStart + 10ms + elapsed));
  auto requests_later = catchup_requests(gateway.receive_at_epoch(missing, kStart + 10ms + kCatchUpInterval));

  CHECK(requests == 1);
  CHECK(requests_later == 1);
}
