// A front's link to the owners of its turns.
#include <catch2/catch.hpp>

#include "history/constants.hpp"
#include "routing/constants.hpp"
#include "routing/turn_client.hpp"
#include "unit/routing/turn_owner_fixture.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

namespace {

/// The turn_client of front 2; front 1 owns everything.
struct Carrier {
  Identity id{candidate(2, Role::front, "z2"), {}, 0, 99};
  Outbox out{id};
  MetadataLog metadata_log;
  TurnClient turn_client{out, metadata_log};
  Millis now = 1000;
  Carrier() { metadata_log.install_snapshot(small_fleet()); }
  void own(Message m) {
    Envelope e{};
    e.from = kRoutingAddress;
    e.body = std::move(m);
    turn_client.handle(e, now);
  }
  void hear(Message m) { turn_client.handle(Owner::from(1, std::move(m)), now); }
  template <class T>
  std::vector<T> sent() {
    std::vector<T> v;
    for (auto& e : out.act.now)
      if (auto* x = std::get_if<T>(&e.body))
        v.push_back(*x);
    std::erase_if(out.act.now, [](auto& e) { return std::holds_alternative<T>(e.body); });
    return v;
  }
};

}  // namespace

TEST_CASE("TurnClient releases a reservation that is granted after its turn is gone") {
  Carrier c;
  c.own(turn("a"));
  CHECK(c.sent<ReserveTurn>().size() == 1);
  c.own(CommitTurn{"a", "p", 0, 0, false, ""});
  CHECK(c.sent<CommitTurn>().size() == 1);
  SECTION("before the owner has answered the outcome") {
    c.hear(ReserveTurnReply{"a", 200, 0, "", ""});
    c.now += kStoreRetryInterval;
    c.turn_client.tick(c.now);
    CHECK(c.sent<CommitTurn>().size() == 1);
  }
  SECTION("after the owner knew of no such turn, for the ask came behind the outcome") {
    c.hear(CommitTurnReply{"a", false});
    c.hear(ReserveTurnReply{"a", 200, 0, "", ""});
    auto s = c.sent<CommitTurn>();
    REQUIRE(s.size() == 1);
    CHECK(s[0].attempt == "a");
    CHECK(s[0].program == "p");
    CHECK(s[0].status == 0);
    c.hear(CommitTurnReply{"a", true});
    CHECK(c.turn_client.waiting() == 0);
  }
  CHECK(c.sent<ReserveTurnReply>().empty());
}

TEST_CASE("TurnClient ignores a second grant of a turn that runs or has ended") {
  Carrier c;
  c.own(turn("a"));
  c.hear(ReserveTurnReply{"a", 200, 0, "", ""});
  CHECK(c.sent<ReserveTurnReply>().size() == 1);
  c.hear(ReserveTurnReply{"a", 200, 0, "", ""});
  CHECK(c.sent<CommitTurn>().empty());
  c.own(CommitTurn{"a", "p", 200, 8, true, "x\n"});
  CHECK(c.sent<CommitTurn>().size() == 1);
  c.hear(CommitTurnReply{"a", true});
  c.hear(ReserveTurnReply{"a", 200, 0, "", ""});
  CHECK(c.sent<CommitTurn>().empty());
  c.hear(ReserveTurnReply{"never", 200, 0, "", ""});
  CHECK(c.sent<CommitTurn>().empty());
  CHECK(c.sent<ReserveTurnReply>().empty());
}

TEST_CASE("TurnClient rejects a turn whose owner is silent, and tells the owner that it has not run") {
  Carrier c;
  c.own(turn("a"));
  c.now += kTurnReservationTimeout + 1;
  c.turn_client.tick(c.now);
  auto g = c.sent<ReserveTurnReply>();
  REQUIRE(g.size() == 1);
  CHECK(g[0].status == 503);
  auto s = c.sent<CommitTurn>();
  REQUIRE(s.size() == 1);
  CHECK(s[0].status == 0);
}
