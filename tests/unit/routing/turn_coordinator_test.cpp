#include <catch2/catch.hpp>

#include "unit/routing/turn_owner_fixture.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

TEST_CASE("TurnCoordinator grants a turn only once its reservation is on a majority") {
  Owner o;
  o.hear(2, turn("a"));
  CHECK(o.sent<ReserveTurnReply>().empty());
  auto kept = o.settle_writes();
  REQUIRE(kept.size() == 1);
  CHECK(kept[0].kind == RecordKind::reservation);
  CHECK(kept[0].tokens == 100);
  auto g = o.sent<ReserveTurnReply>();
  REQUIRE(g.size() == 1);
  CHECK(g[0].second.status == 200);
}

TEST_CASE("TurnCoordinator sends the chain of a follow-on turn in order, also to several of one turn") {
  Owner o;
  for (auto [k, parent] : {std::pair{"a", ""}, {"b", "a"}, {"c", "a"}}) {
    o.hear(2, turn(k, parent));
    o.settle_writes();
    auto g = o.sent<ReserveTurnReply>();
    REQUIRE(g.size() == 1);
    CHECK(g[0].second.chain == (parent[0] ? "in:a;out:a\n" : ""));
    o.hear(2, CommitTurn{k, "p", 200, 40, true, std::string("out:") + k + "\n"});
    CHECK(o.sent<CommitTurnReply>().empty());
    o.settle_writes();
    auto s = o.sent<CommitTurnReply>();
    REQUIRE(s.size() == 1);
    CHECK(s[0].second.committed);
  }
}

TEST_CASE("TurnCoordinator rejects a turn beyond the budget with 402 and writes nothing") {
  Owner o;
  o.hear(2, turn("a", "", 150));
  o.settle_writes();
  o.hear(2, turn("b", "", 150));
  CHECK(o.settle_writes().empty());
  auto g = o.sent<ReserveTurnReply>();
  REQUIRE(g.size() == 2);
  CHECK(g[1].second.status == 402);
  o.hear(2, CommitTurn{"a", "p", 502, 40, false, ""});
  o.settle_writes();
  o.hear(2, turn("c", "", 150));
  o.settle_writes();
  CHECK(o.sent<ReserveTurnReply>()[0].second.status == 200);
}

TEST_CASE("TurnCoordinator imports the chain of another program's turn in one record") {
  Owner o;
  o.hear(2, turn("n", "old"));
  CHECK(o.settle_writes().empty());
  auto asked = o.sent<FindChain>();
  CHECK(asked.size() == 3);
  o.hear(12, FindChainReply{"old", true, "what was said"});
  auto kept = o.settle_writes();
  REQUIRE(kept.size() == 2);
  CHECK(kept[0].kind == RecordKind::outcome);
  CHECK(kept[0].key == "old");
  auto g = o.sent<ReserveTurnReply>();
  REQUIRE(g.size() == 1);
  CHECK(g[0].second.chain == "what was said");
}

TEST_CASE("TurnCoordinator reports a previous turn as missing only when every store says so") {
  Owner o;
  o.hear(2, turn("n", "never"));
  o.settle_writes();
  o.hear(11, FindChainReply{"never", false, ""});
  o.hear(12, FindChainReply{"never", false, ""});
  CHECK(o.sent<ReserveTurnReply>().empty());
  SECTION("all answer") {
    o.hear(13, FindChainReply{"never", false, ""});
    CHECK(o.sent<ReserveTurnReply>()[0].second.status == 404);
  }
  SECTION("one is silent") {
    o.now += 1200;
    o.reg.tick(o.now);
    CHECK(o.sent<ReserveTurnReply>()[0].second.status == 503);
  }
}

TEST_CASE("TurnCoordinator acknowledges an outcome only from a majority, and a second one changes nothing") {
  Owner o;
  o.hear(2, turn("a"));
  o.settle_writes();
  o.hear(2, CommitTurn{"a", "p", 200, 40, true, "x\n"});
  CHECK(o.sent<CommitTurnReply>().empty());
  o.settle_writes();
  o.hear(2, CommitTurn{"a", "p", 200, 40, true, "x\n"});
  CHECK(o.settle_writes().empty());
  CHECK(o.sent<CommitTurnReply>().size() == 2);
  o.hear(2, CommitTurn{"never", "p", 200, 40, true, "x\n"});
  CHECK_FALSE(o.sent<CommitTurnReply>()[0].second.committed);
}

TEST_CASE("TurnCoordinator neither grants nor commits a turn for a second front") {
  Owner o;
  o.hear(2, turn("a"));
  o.settle_writes();
  CHECK(o.sent<ReserveTurnReply>().size() == 1);
  o.hear(3, turn("a"));
  CHECK(o.settle_writes().empty());
  auto refused = o.sent<ReserveTurnReply>();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].second.status == 409);
  o.hear(3, CommitTurn{"a", "p", 0, 0, false, ""});
  CHECK(o.settle_writes().empty());
  auto ignored = o.sent<CommitTurnReply>();
  REQUIRE(ignored.size() == 1);
  CHECK_FALSE(ignored[0].second.committed);
  o.hear(2, turn("a"));
  CHECK(o.sent<ReserveTurnReply>().at(0).second.status == 200);
  o.hear(2, CommitTurn{"a", "p", 200, 40, true, "out"});
  CHECK(o.settle_writes().size() == 1);
  CHECK(o.sent<CommitTurnReply>().at(0).second.committed);
}
