// The gateway's word on keys, retention and order, in a simulated fleet without troubles.
#include <catch2/catch.hpp>

#include "history/constants.hpp"
#include "simulation/callers.hpp"

using namespace mosskeel;
using namespace mosskeel::sim;

namespace {

struct Fleet {
  World w{5, {3, 3, 3, 4, 3}};
  Callers c{w, 4, 3, 400, 10};
  Fleet() { REQUIRE(c.introduce()); }
  ~Fleet() { w.died = nullptr; }

  ProgramResponse ask(ProgramRequest e, const std::string& front = "gateway1") {
    std::optional<ProgramResponse> got;
    auto old = w.local;
    w.local = [&](Node& n, const Envelope& x) {
      if (x.to != "local:test")
        return old(n, x);
      if (auto* end = std::get_if<ProgramResponse>(&x.body))
        got = *end;
    };
    e.attempt = "t" + std::to_string(w.roll());
    e.cell = "news";
    if (e.kind.empty())
      e.kind = "model", e.route = "chat";
    Envelope env{};
    env.from = "local:test";
    env.body = e;
    w.post(front, env);
    w.until(20000, [&] { return got.has_value(); });
    w.local = old;
    REQUIRE(got);
    return *got;
  }
  ProgramResponse turn(const std::string& program, const std::string& key, const std::string& body,
                       std::optional<uint32_t> after = std::nullopt) {
    ProgramRequest e{};
    e.program = program;
    e.thread = "main";
    e.key = key;
    e.body = body;
    e.expected_turns = after;
    return ask(e);
  }
  ProgramResponse history(const std::string& program) {
    ProgramRequest e{};
    e.kind = "history";
    e.program = program;
    return ask(e, "gateway2");
  }
};

}  // namespace

TEST_CASE("a key runs once: the kept answer, or 409 for another body") {
  Fleet f;
  auto a = f.turn("p", "k", "question");
  CHECK(a.status == 200);
  auto b = f.turn("p", "k", "question");
  CHECK(b.status == 200);
  CHECK(b.body == a.body);
  auto c = f.turn("p", "k", "other question");
  CHECK(c.status == 409);
  CHECK(c.executed == Outcome::no);
  CHECK(f.w.failures.empty());
}

TEST_CASE("a follow-on turn names how many turns it follows") {
  Fleet f;
  CHECK(f.turn("p", "k1", "a", 1).status == 404);
  CHECK(f.turn("p", "k2", "a", 0).status == 200);
  CHECK(f.turn("p", "k3", "b", 0).status == 409);
  CHECK(f.turn("p", "k4", "b", 1).turn == 2);
  CHECK(f.turn("p", "k5", "c", 3).status == 409);
}

TEST_CASE("a conversation is kept for its retention and has then ended") {
  Fleet f;
  auto m = f.w.node("controller1").machine->view()->configuration;
  m.cells[0].retention_ms = 5000;
  bool done = false;
  f.c.commit(ApplyConfiguration{Revision{1}, m},
             [&](const CommitReply& r) { done = r.outcome == CommitOutcome::committed; });
  REQUIRE(f.w.until(5000, [&] { return done; }));
  f.w.run(1000);
  CHECK(f.turn("p", "k1", "a").status == 200);
  f.w.run(4000);
  CHECK(f.history("p").status == 200);
  CHECK(f.turn("p", "k2", "b", 1).status == 200);
  f.w.run(4500);
  CHECK(f.history("p").status == 200);
  f.w.run(5000 + kRetentionMargin + 40000);
  CHECK(f.history("p").status == 410);
  CHECK(f.turn("p", "k3", "c", 2).status == 410);
  CHECK(f.turn("p", "k1", "a").executed == Outcome::unknown);
}

TEST_CASE("nothing is called missing while too few stores answer") {
  Fleet f;
  CHECK(f.turn("p", "k1", "a").status == 200);
  f.w.power_off("store1");
  f.w.power_off("store2");
  for (auto& s : f.w.names(Kind::gateway))
    f.w.kill(s), f.w.start(s);
  f.w.run(6000);
  auto e = f.history("p");
  CHECK(e.status == 503);
  CHECK(e.retry_ms > 0);
  CHECK(f.turn("p", "k2", "b", 1).status == 503);
  f.w.start("store1");
  f.w.run(6000);
  CHECK(f.history("p").status == 200);
}
