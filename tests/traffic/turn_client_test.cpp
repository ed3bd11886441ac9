// A front's link to the owners of its turns.
#include <catch2/catch.hpp>

#include "traffic/fixture.hpp"
#include "traffic/turn_client.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

namespace {

/// The turn_client of front 2; front 1 owns everything.
struct Carrier {
  Identity id{candidate(2, Role::front, "z2"), {}, 0, 99};
  Outbox out{id};
  Ledger led;
  TurnClient turn_client{out, led};
  Millis now = 1000;
  Carrier() { led.jump(small_fleet()); }
  void own(Message m) {
    Envelope e{};
    e.from = traffic_address;
    e.body = std::move(m);
    turn_client.on(e, now);
  }
  void hear(Message m) { turn_client.on(Owner::from(1, std::move(m)), now); }
  template <class T>
  std::vector<T> sent() {
    std::vector<T> v;
    for (auto& e : out.act.now)
      if (auto* x = std::get_if<T>(&e.body)) v.push_back(*x);
    std::erase_if(out.act.now, [](auto& e) { return std::holds_alternative<T>(e.body); });
    return v;
  }
};

}  // namespace

TEST_CASE("a grant that comes for a turn that is gone is answered, so that its reservation is freed") {
  Carrier c;
  c.own(turn("a"));
  CHECK(c.sent<TurnAsk>().size() == 1);
  c.own(TurnSettle{"a", "p", 0, 0, false, ""});
  CHECK(c.sent<TurnSettle>().size() == 1);
  SECTION("before the owner has answered the outcome") {
    c.hear(TurnGrant{"a", 200, 0, "", ""});
    c.now += limits::line_retry;
    c.turn_client.tick(c.now);
    CHECK(c.sent<TurnSettle>().size() == 1);
  }
  SECTION("after the owner knew of no such turn, for the ask came behind the outcome") {
    c.hear(TurnSettled{"a", false});
    c.hear(TurnGrant{"a", 200, 0, "", ""});
    auto s = c.sent<TurnSettle>();
    REQUIRE(s.size() == 1);
    CHECK(s[0].attempt == "a");
    CHECK(s[0].program == "p");
    CHECK(s[0].status == 0);
    c.hear(TurnSettled{"a", true});
    CHECK(c.turn_client.waiting() == 0);
  }
  CHECK(c.sent<TurnGrant>().empty());
}

TEST_CASE("a second grant of a turn that runs or has ended changes nothing") {
  Carrier c;
  c.own(turn("a"));
  c.hear(TurnGrant{"a", 200, 0, "", ""});
  CHECK(c.sent<TurnGrant>().size() == 1);
  c.hear(TurnGrant{"a", 200, 0, "", ""});
  CHECK(c.sent<TurnSettle>().empty());
  c.own(TurnSettle{"a", "p", 200, 8, true, "x\n"});
  CHECK(c.sent<TurnSettle>().size() == 1);
  c.hear(TurnSettled{"a", true});
  c.hear(TurnGrant{"a", 200, 0, "", ""});
  CHECK(c.sent<TurnSettle>().empty());
  c.hear(TurnGrant{"never", 200, 0, "", ""});
  CHECK(c.sent<TurnSettle>().empty());
  CHECK(c.sent<TurnGrant>().empty());
}

TEST_CASE("an owner that is silent makes the turn's refusal, and hears that it has not run") {
  Carrier c;
  c.own(turn("a"));
  c.now += limits::ask_patience + 1;
  c.turn_client.tick(c.now);
  auto g = c.sent<TurnGrant>();
  REQUIRE(g.size() == 1);
  CHECK(g[0].status == 503);
  auto s = c.sent<TurnSettle>();
  REQUIRE(s.size() == 1);
  CHECK(s[0].status == 0);
}
