// Tests how a gateway reserves and commits its callers' turns at their owner, another gateway.
#include "routing/turn_client.hpp"

#include "history/constants.hpp"
#include "routing/constants.hpp"
#include "unit/routing/turn_owner_fixture.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

namespace {

/// Gateway 2, which serves callers; gateway 1 owns all programs.
struct ClientFixture {
  Identity identity{candidate(2, Role::gateway, "z2"), {}, 0, 99};
  Outbox outbox{identity};
  MetadataLog metadata_log;
  TurnClient client{outbox, metadata_log};
  TimePoint now{1000ms};

  ClientFixture() { metadata_log.install_snapshot(small_cluster()); }

  void receive_from_router(Message body) {
    Envelope envelope{};
    envelope.from = kRoutingAddress;
    envelope.body = std::move(body);
    client.handle(envelope, now);
  }

  void receive_from_owner(Message body) { client.handle(Owner::from(1, std::move(body)), now); }

  template <class Body>
  std::vector<Body> take() {
    return take_bodies<Body>(outbox);
  }
};

}  // namespace

TEST_CASE("TurnClient releases a reservation that is granted after its turn has ended") {
  ClientFixture fixture;
  fixture.receive_from_router(turn("a"));

  CHECK(fixture.take<ReserveTurn>().size() == 1);

  fixture.receive_from_router(CommitTurn{"a", "p", 0, 0, false, ""});
  CHECK(fixture.take<CommitTurn>().size() == 1);

  SECTION("before the owner has replied to the outcome") {
    fixture.receive_from_owner(ReserveTurnReply{"a", 200, 0, "", ""});
    fixture.now += kStoreRetryInterval;
    fixture.client.tick(fixture.now);

    CHECK(fixture.take<CommitTurn>().size() == 1);
  }
  SECTION("after the owner did not know the turn, since the reservation arrived after the outcome") {
    fixture.receive_from_owner(CommitTurnReply{"a", false});
    fixture.receive_from_owner(ReserveTurnReply{"a", 200, 0, "", ""});
    auto outcomes = fixture.take<CommitTurn>();
    REQUIRE(outcomes.size() == 1);

    CHECK(outcomes[0].attempt == "a");
    CHECK(outcomes[0].program == "p");
    CHECK(outcomes[0].status == 0);

    fixture.receive_from_owner(CommitTurnReply{"a", true});
    CHECK(fixture.client.unanswered_requests() == 0);
  }

  CHECK(fixture.take<ReserveTurnReply>().empty());
}

TEST_CASE("TurnClient ignores a second grant of a turn that is in progress") {
  ClientFixture fixture;
  fixture.receive_from_router(turn("a"));
  fixture.receive_from_owner(ReserveTurnReply{"a", 200, 0, "", ""});

  CHECK(fixture.take<ReserveTurnReply>().size() == 1);

  fixture.receive_from_owner(ReserveTurnReply{"a", 200, 0, "", ""});

  CHECK(fixture.take<CommitTurn>().empty());
  CHECK(fixture.take<ReserveTurnReply>().empty());
}

TEST_CASE("TurnClient ignores a second grant of a turn that has ended") {
  ClientFixture fixture;
  fixture.receive_from_router(turn("a"));
  fixture.receive_from_owner(ReserveTurnReply{"a", 200, 0, "", ""});
  REQUIRE(fixture.take<ReserveTurnReply>().size() == 1);
  fixture.receive_from_router(CommitTurn{"a", "p", 200, 8, true, "x\n"});

  CHECK(fixture.take<CommitTurn>().size() == 1);

  fixture.receive_from_owner(CommitTurnReply{"a", true});

  fixture.receive_from_owner(ReserveTurnReply{"a", 200, 0, "", ""});

  CHECK(fixture.take<CommitTurn>().empty());
  CHECK(fixture.take<ReserveTurnReply>().empty());
}

TEST_CASE("TurnClient ignores a grant of a turn that it never requested") {
  ClientFixture fixture;

  fixture.receive_from_owner(ReserveTurnReply{"never", 200, 0, "", ""});

  CHECK(fixture.take<CommitTurn>().empty());
  CHECK(fixture.take<ReserveTurnReply>().empty());
}

TEST_CASE("TurnClient rejects a turn whose owner does not reply, and commits it there as not executed") {
  ClientFixture fixture;
  fixture.receive_from_router(turn("a"));
  fixture.now += kTurnReservationTimeout + 1ms;
  fixture.client.tick(fixture.now);
  auto rejections = fixture.take<ReserveTurnReply>();
  REQUIRE(rejections.size() == 1);

  CHECK(rejections[0].status == 503);

  auto outcomes = fixture.take<CommitTurn>();
  REQUIRE(outcomes.size() == 1);

  CHECK(outcomes[0].status == 0);
}
