#include <catch2/catch.hpp>

#include "traffic/fixture.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

TEST_CASE("a turn is granted only once its reservation lies on a majority") {
  Owner o;
  o.hear(2, turn("a"));
  CHECK(o.sent<TurnGrant>().empty());
  auto kept = o.settle_writes();
  REQUIRE(kept.size() == 1);
  CHECK(kept[0].kind == RecordKind::reservation);
  CHECK(kept[0].tokens == 100);
  auto g = o.sent<TurnGrant>();
  REQUIRE(g.size() == 1);
  CHECK(g[0].second.status == 200);
}

TEST_CASE("a follow-on turn gets its chain in order, several may name the same turn") {
  Owner o;
  for (auto [k, parent] : {std::pair{"a", ""}, {"b", "a"}, {"c", "a"}}) {
    o.hear(2, turn(k, parent));
    o.settle_writes();
    auto g = o.sent<TurnGrant>();
    REQUIRE(g.size() == 1);
    CHECK(g[0].second.chain == (parent[0] ? "in:a;out:a\n" : ""));
    o.hear(2, TurnSettle{k, "p", 200, 40, true, std::string("out:") + k + "\n"});
    CHECK(o.sent<TurnSettled>().empty());
    o.settle_writes();
    auto s = o.sent<TurnSettled>();
    REQUIRE(s.size() == 1);
    CHECK(s[0].second.kept);
  }
}

TEST_CASE("a turn beyond the budget is refused with 402 and writes nothing") {
  Owner o;
  o.hear(2, turn("a", "", 150));
  o.settle_writes();
  o.hear(2, turn("b", "", 150));
  CHECK(o.settle_writes().empty());
  auto g = o.sent<TurnGrant>();
  REQUIRE(g.size() == 2);
  CHECK(g[1].second.status == 402);
  o.hear(2, TurnSettle{"a", "p", 502, 40, false, ""});
  o.settle_writes();
  o.hear(2, turn("c", "", 150));
  o.settle_writes();
  CHECK(o.sent<TurnGrant>()[0].second.status == 200);
}

TEST_CASE("the chain of another program's turn is taken over in one record, so that no change of owner can split it") {
  Owner o;
  o.hear(2, turn("n", "old"));
  CHECK(o.settle_writes().empty());
  auto asked = o.sent<ChainFind>();
  CHECK(asked.size() == 3);
  o.hear(12, ChainFound{"old", true, "what was said"});
  auto kept = o.settle_writes();
  REQUIRE(kept.size() == 2);
  CHECK(kept[0].kind == RecordKind::settled);
  CHECK(kept[0].key == "old");
  auto g = o.sent<TurnGrant>();
  REQUIRE(g.size() == 1);
  CHECK(g[0].second.chain == "what was said");
}

TEST_CASE("a turn before is called missing only when every store says so") {
  Owner o;
  o.hear(2, turn("n", "never"));
  o.settle_writes();
  o.hear(11, ChainFound{"never", false, ""});
  o.hear(12, ChainFound{"never", false, ""});
  CHECK(o.sent<TurnGrant>().empty());
  SECTION("all answer") {
    o.hear(13, ChainFound{"never", false, ""});
    CHECK(o.sent<TurnGrant>()[0].second.status == 404);
  }
  SECTION("one is silent") {
    o.now += 1200;
    o.reg.tick(o.now);
    CHECK(o.sent<TurnGrant>()[0].second.status == 503);
  }
}

TEST_CASE("an outcome is told as kept only from a majority, and a second one changes nothing") {
  Owner o;
  o.hear(2, turn("a"));
  o.settle_writes();
  o.hear(2, TurnSettle{"a", "p", 200, 40, true, "x\n"});
  CHECK(o.sent<TurnSettled>().empty());
  o.settle_writes();
  o.hear(2, TurnSettle{"a", "p", 200, 40, true, "x\n"});
  CHECK(o.settle_writes().empty());
  CHECK(o.sent<TurnSettled>().size() == 2);
  o.hear(2, TurnSettle{"never", "p", 200, 40, true, "x\n"});
  CHECK_FALSE(o.sent<TurnSettled>()[0].second.kept);
}

TEST_CASE("an attempt that one front was granted is neither granted nor settled for another") {
  Owner o;
  o.hear(2, turn("a"));
  o.settle_writes();
  CHECK(o.sent<TurnGrant>().size() == 1);
  o.hear(3, turn("a"));
  CHECK(o.settle_writes().empty());
  auto refused = o.sent<TurnGrant>();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].second.status == 409);
  o.hear(3, TurnSettle{"a", "p", 0, 0, false, ""});
  CHECK(o.settle_writes().empty());
  auto ignored = o.sent<TurnSettled>();
  REQUIRE(ignored.size() == 1);
  CHECK_FALSE(ignored[0].second.kept);
  o.hear(2, turn("a"));
  CHECK(o.sent<TurnGrant>().at(0).second.status == 200);
  o.hear(2, TurnSettle{"a", "p", 200, 40, true, "out"});
  CHECK(o.settle_writes().size() == 1);
  CHECK(o.sent<TurnSettled>().at(0).second.kept);
}
