// How long a gateway dispatches while the log moves on ahead of it.
#include <catch2/catch.hpp>

#include "messages/constants.hpp"
#include "programs/gateway_machine.hpp"
#include "replication/constants.hpp"
#include "runtime/constants.hpp"

using namespace mosskeel;

namespace {

constexpr Millis start = kProcessClockStart;

Candidate candidate(uint64_t incarnation, Role role, const std::string& address, const std::string& agent = "") {
  return {Incarnation{incarnation}, role, "zone", address, agent, "http-" + address, address};
}

/// A gateway that its agent has just told the newest metadata.
struct Touch {
  Metadata metadata{};
  Candidate self = candidate(21, Role::front, "gateway", "agent");
  GatewayMachine gateway{Identity{self, {}}, start};

  void commit(const Transformation& t) {
    auto r = apply(metadata, {next(metadata.epoch), "", t});
    REQUIRE(r.ok());
    metadata = r.value();
  }
  Touch() {
    commit(FoundCluster{7, 1, {candidate(1, Role::controller, "controller")}});
    commit(Register{self});
    answer(start, metadata.epoch, metadata);
  }
  Envelope envelope(Epoch epoch, Message body) const {
    return {kProtocolRevision, metadata.cluster, epoch,          1, "agent", Incarnation{},
            "gateway",         self.incarnation, std::move(body)};
  }
  Actions answer(Millis sent, Epoch epoch, std::optional<Metadata> checkpoint = std::nullopt, Millis now = 0) {
    HeartbeatReply r{epoch, std::move(checkpoint), {}, 0, true, sent};
    return gateway.step(envelope(epoch, std::move(r)), std::max(now, sent));
  }
  /// A message that is stamped with an epoch which the gateway does not have.
  Actions hear_of(Epoch epoch, Millis now) {
    return gateway.step(envelope(epoch, ProgramRequestAcknowledgement{"nobody's"}), now);
  }
  Entry next_entry() const { return {next(metadata.epoch), "", Register{candidate(31, Role::store, "store")}}; }
};

size_t catchups(const Actions& a) {
  return static_cast<size_t>(
      std::count_if(a.now.begin(), a.now.end(), [](auto& e) { return std::holds_alternative<Catchup>(e.body); }));
}

}  // namespace

TEST_CASE("GatewayMachine dispatches for a limited time after it has heard of a later epoch") {
  Touch t;
  CHECK(t.gateway.has_majority_contact(start));
  t.hear_of(next(t.metadata.epoch), start + 10);
  CHECK(t.gateway.has_majority_contact(start + 11));
  CHECK(t.gateway.routing_snapshot(start + 11).dispatch_until > start + 11);
  CHECK_FALSE(t.gateway.has_majority_contact(start + 10 + kIsolationTimeout / 2));
  CHECK(t.gateway.routing_snapshot(start + 11).dispatch_until <= start + 10 + kIsolationTimeout / 2);
}

TEST_CASE("GatewayMachine does not extend that time when it hears of ever later epochs") {
  Touch t;
  auto epoch = t.metadata.epoch.value();
  for (Millis k = 0; k < 20; ++k)
    t.hear_of(Epoch{epoch + 1 + static_cast<uint64_t>(k)}, start + 10 + k * 50);
  CHECK_FALSE(t.gateway.has_majority_contact(start + 10 + kIsolationTimeout / 2));
}

TEST_CASE("GatewayMachine counts contact at an epoch ahead of its entry once the entry is there, and not before") {
  Touch t;
  auto e = t.next_entry();
  t.answer(start + 1500, e.epoch);
  CHECK(t.gateway.has_majority_contact(start + kIsolationTimeout - 1));
  CHECK_FALSE(t.gateway.has_majority_contact(start + kIsolationTimeout));
  t.gateway.step(t.envelope(e.epoch, Decided{e}), start + 1600);
  CHECK(t.gateway.has_majority_contact(start + kIsolationTimeout + 1));
  CHECK_FALSE(t.gateway.has_majority_contact(start + 1500 + kIsolationTimeout));
}

TEST_CASE("GatewayMachine asks once for a missing epoch, and again when nothing comes") {
  Touch t;
  size_t asked = 0;
  for (Millis k = 0; k < 100; ++k)
    asked += catchups(t.hear_of(next(t.metadata.epoch), start + 10 + k));
  CHECK(asked == 1);
  CHECK(catchups(t.hear_of(next(t.metadata.epoch), start + 10 + kCatchUpInterval)) == 1);
}
