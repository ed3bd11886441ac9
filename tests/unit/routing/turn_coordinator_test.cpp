// Tests when the owner of a program grants a turn, and when it acknowledges the turn's outcome.
#include "routing/turn_coordinator.hpp"

#include "history/constants.hpp"
#include "unit/routing/turn_owner_fixture.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

namespace {

/// Token budget that suffices for the reservation of one turn, but not of two.
constexpr uint64_t kBudgetOfOneTurn = 150;

}  // namespace

TEST_CASE("TurnCoordinator grants a turn only once a majority of the stores has its reservation") {
  Owner owner;
  owner.receive(2, turn("a"));

  CHECK(owner.take<ReserveTurnReply>().empty());

  auto written = owner.complete_writes();

  REQUIRE(written.size() == 1);
  CHECK(written[0].kind == RecordKind::reservation);
  CHECK(written[0].tokens == 100);
  CHECK(owner.take_one<ReserveTurnReply>().status == 200);
}

TEST_CASE(
    "TurnCoordinator sends the chain with the grant of a turn that continues another, even to several such turns") {
  Owner owner;
  for (auto [attempt, parent] : {std::pair{"a", ""}, {"b", "a"}, {"c", "a"}}) {
    owner.receive(2, turn(attempt, parent));
    owner.complete_writes();
    std::string expected_chain = std::string(parent).empty() ? "" : "in:a;out:a\n";

    CHECK(owner.take_one<ReserveTurnReply>().chain == expected_chain);

    owner.receive(2, CommitTurn{attempt, "p", 200, 40, true, std::string("out:") + attempt + "\n"});
    CHECK(owner.take<CommitTurnReply>().empty());

    owner.complete_writes();
    CHECK(owner.take_one<CommitTurnReply>().committed);
  }
}

TEST_CASE("TurnCoordinator rejects a turn that exceeds the budget with 402 and writes nothing") {
  Owner owner;
  owner.receive(2, turn("a", "", kBudgetOfOneTurn));
  owner.complete_writes();

  owner.receive(2, turn("b", "", kBudgetOfOneTurn));

  CHECK(owner.complete_writes().empty());

  auto replies = owner.take<ReserveTurnReply>();
  REQUIRE(replies.size() == 2);

  CHECK(replies[1].status == 402);
}

TEST_CASE("TurnCoordinator returns reserved tokens that a turn did not spend to the budget") {
  Owner owner;
  owner.receive(2, turn("a", "", kBudgetOfOneTurn));
  owner.complete_writes();
  owner.receive(2, turn("b", "", kBudgetOfOneTurn));
  owner.complete_writes();
  REQUIRE(owner.take<ReserveTurnReply>().size() == 2);

  owner.receive(2, CommitTurn{"a", "p", 502, 40, false, ""});
  owner.complete_writes();
  owner.receive(2, turn("c", "", kBudgetOfOneTurn));
  owner.complete_writes();

  CHECK(owner.take<ReserveTurnReply>().at(0).status == 200);
}

TEST_CASE("TurnCoordinator imports the chain of another program's turn in one record") {
  Owner owner;
  owner.receive(2, turn("n", "old"));

  CHECK(owner.complete_writes().empty());
  CHECK(owner.take<FindChain>().size() == 3);

  owner.receive(12, FindChainReply{"old", true, "what was said"});

  auto written = owner.complete_writes();
  REQUIRE(written.size() == 2);

  CHECK(written[0].kind == RecordKind::outcome);
  CHECK(written[0].key == "old");
  CHECK(owner.take_one<ReserveTurnReply>().chain == "what was said");
}

TEST_CASE("TurnCoordinator reports a parent turn as missing only when every store lacks it") {
  Owner owner;
  owner.receive(2, turn("n", "never"));
  owner.complete_writes();
  owner.receive(11, FindChainReply{"never", false, ""});
  owner.receive(12, FindChainReply{"never", false, ""});

  CHECK(owner.take<ReserveTurnReply>().empty());

  SECTION("all reply") {
    owner.receive(13, FindChainReply{"never", false, ""});
    CHECK(owner.take<ReserveTurnReply>().at(0).status == 404);
  }
  SECTION("one does not reply") {
    owner.now += 1200ms;
    owner.coordinator.tick(owner.now);

    CHECK(owner.take<ReserveTurnReply>().at(0).status == 503);
  }
}

TEST_CASE("TurnCoordinator acknowledges an outcome once a majority has it, and a repeated outcome writes nothing") {
  Owner owner;
  owner.receive(2, turn("a"));
  owner.complete_writes();
  owner.receive(2, CommitTurn{"a", "p", 200, 40, true, "x\n"});

  CHECK(owner.take<CommitTurnReply>().empty());

  owner.complete_writes();

  owner.receive(2, CommitTurn{"a", "p", 200, 40, true, "x\n"});

  CHECK(owner.complete_writes().empty());
  CHECK(owner.take<CommitTurnReply>().size() == 2);
}

TEST_CASE("TurnCoordinator does not commit the outcome of a turn that was never reserved") {
  Owner owner;
  owner.receive(2, turn("a"));
  owner.complete_writes();

  owner.receive(2, CommitTurn{"never", "p", 200, 40, true, "x\n"});

  CHECK(owner.take<CommitTurnReply>().empty());
  CHECK(owner.complete_writes().empty());
  CHECK_FALSE(owner.take<CommitTurnReply>().at(0).committed);
}

TEST_CASE("TurnCoordinator neither grants nor commits a turn for a second gateway") {
  Owner owner;
  owner.receive(2, turn("a"));
  owner.complete_writes();

  CHECK(owner.take<ReserveTurnReply>().size() == 1);

  owner.receive(3, turn("a"));

  CHECK(owner.complete_writes().empty());
  CHECK(owner.take_one<ReserveTurnReply>().status == 409);

  owner.receive(3, CommitTurn{"a", "p", 0, 0, false, ""});

  CHECK(owner.complete_writes().empty());
  CHECK_FALSE(owner.take_one<CommitTurnReply>().committed);
}

TEST_CASE("TurnCoordinator continues a turn of the first gateway after a second gateway has requested it") {
  Owner owner;
  owner.receive(2, turn("a"));
  owner.complete_writes();
  REQUIRE(owner.take<ReserveTurnReply>().size() == 1);
  owner.receive(3, turn("a"));
  owner.complete_writes();
  owner.receive(3, CommitTurn{"a", "p", 0, 0, false, ""});
  owner.complete_writes();
  REQUIRE(owner.take<ReserveTurnReply>().size() == 1);
  REQUIRE(owner.take<CommitTurnReply>().size() == 1);

  owner.receive(2, turn("a"));

  CHECK(owner.take<ReserveTurnReply>().at(0).status == 200);

  owner.receive(2, CommitTurn{"a", "p", 200, 40, true, "out"});

  CHECK(owner.complete_writes().size() == 1);
  CHECK(owner.take<CommitTurnReply>().at(0).committed);
}

// Guards against a former owner that permanently rejects a turn based on a history that a newer owner has changed.
TEST_CASE("TurnCoordinator does not reject a turn from its in-memory history once the stores follow a newer owner") {
  Owner owner;
  owner.receive(2, turn("a", "", kBudgetOfOneTurn));
  owner.complete_writes();
  REQUIRE(owner.take_one<ReserveTurnReply>().status == 200);
  auto status_of_rejection = [&](const ReserveTurn& request, uint64_t gateway) {
    owner.receive(gateway, request);
    CHECK(owner.take<ReserveTurnReply>().empty());
    owner.refuse_reads();
    auto reply = owner.take_one<ReserveTurnReply>();
    CHECK(reply.retry_after_ms > 0);
    return reply.status;
  };

  SECTION("because of the budget") {
    CHECK(status_of_rejection(turn("b", "", kBudgetOfOneTurn), 2) == 503);
  }
  SECTION("because the turn is another gateway's") {
    CHECK(status_of_rejection(turn("a", "", kBudgetOfOneTurn), 3) == 503);
  }
  SECTION("because the turn has ended, or its parent failed") {
    owner.receive(2, CommitTurn{"a", "p", 502, 40, false, ""});
    owner.complete_writes();

    CHECK(status_of_rejection(turn("a", "", kBudgetOfOneTurn), 2) == 503);
    CHECK(status_of_rejection(turn("b", "a"), 2) == 503);
  }
}

TEST_CASE("TurnCoordinator does not deny an outcome from its in-memory history once the stores follow a newer owner") {
  Owner owner;
  owner.receive(2, turn("a"));
  owner.complete_writes();

  owner.receive(2, CommitTurn{"never", "p", 200, 40, true, "x\n"});
  owner.refuse_reads();

  CHECK(owner.take<CommitTurnReply>().empty());
}

TEST_CASE("TurnCoordinator rejects a turn that would make the history too large, before it runs") {
  constexpr size_t kInputBytes = kMaxHistoryBytes / 4;
  Owner owner;
  auto large_turn = [](const std::string& attempt) {
    auto request = turn(attempt);
    request.input = std::string(kInputBytes, 'x');
    return request;
  };
  for (auto attempt : {"a", "b", "c"}) {
    owner.receive(2, large_turn(attempt));
    owner.complete_writes();
    REQUIRE(owner.take_one<ReserveTurnReply>().status == 200);
  }

  owner.receive(2, large_turn("d"));

  CHECK(owner.complete_writes().empty());
  auto reply = owner.take_one<ReserveTurnReply>();
  CHECK(reply.status == 413);
  CHECK(reply.reason.find("history is full") != std::string::npos);

  owner.receive(2, turn("e"));
  owner.complete_writes();

  CHECK(owner.take_one<ReserveTurnReply>().status == 200);
}
