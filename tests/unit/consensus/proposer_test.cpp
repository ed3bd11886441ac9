// What the proposer answers whom, over every point of a cut, on real controllers in a simulated world.
#include <catch2/catch.hpp>

#include "simulation/world.hpp"

using namespace mosskeel;
using sim::World;

namespace {

/// Three controllers that know each other, and the replies of their local sessions.
struct Core {
  World w;
  std::map<Address, std::vector<CommitReply>> replies;
  explicit Core(uint64_t seed) : w(seed, {3, 3, 1, 1, 3, 1}) {
    w.local = [this](sim::Node&, const Envelope& e) {
      if (auto* r = std::get_if<CommitReply>(&e.body))
        replies[e.to].push_back(*r);
    };
    bool up = w.until(30000, [this] {
      for (auto& c : w.names(sim::Kind::controller))
        if (!w.node(c).machine->view()->cluster)
          return false;
      return w.node("controller1").machine->view()->directory.size() >= 7;
    });
    REQUIRE(up);
    w.run(3000);
  }
  void ask(const std::string& controller, const Address& session, const std::string& id, const Transformation& t,
           Millis patience = 0) {
    Envelope e{};
    e.from = session;
    e.cluster = w.node(controller).machine->view()->cluster;
    e.epoch = w.node(controller).machine->view()->epoch;
    e.body = Commit{id, t, e.epoch, patience};
    w.post(controller, e);
  }
  View view(const std::string& c) { return w.node(c).machine->view(); }
  size_t count(const Address& session, CommitOutcome o) {
    size_t n = 0;
    for (auto& r : replies[session])
      n += r.outcome == o;
    return n;
  }
};

ApplyConfiguration order(Revision base, uint64_t own) {
  return {base, {}, Revision{own}};
}

}  // namespace

TEST_CASE("a read that began for one commit refuses no other") {
  for (int i = 0; i < 60; ++i) {
    Core c(7);
    c.w.net.delay = 100;
    c.w.isolate("controller1");
    c.ask("controller1", "local:bad", "bad", RemoveReplica{""});
    c.w.run(1500);
    c.ask("controller1", "local:good", "good", order(c.view("controller1")->revision, 9));
    c.w.run(10 * i);
    c.w.heal();
    c.w.run(5000);
    INFO("healed " << 1500 + 10 * i << " ms after the first");
    CHECK(c.count("local:good", CommitOutcome::rejected) == 0);
    CHECK(c.count("local:bad", CommitOutcome::committed) == 0);
  }
}

TEST_CASE("what was left unclear before anybody was asked to accept it is never taken") {
  for (int i = 0; i < 40; ++i) {
    Core c(11);
    c.w.isolate("controller1");
    c.ask("controller1", "local:a", "a", order(c.view("controller1")->revision, 9), 900);
    c.w.run(930 + 10 * i);
    c.w.heal();
    c.w.run(5000);
    INFO("healed " << 930 + 10 * i << " ms after the order");
    CHECK(c.count("local:a", CommitOutcome::unknown) == 1);
    CHECK_FALSE(c.view("controller2")->epoch_of_commit("a"));
  }
}

TEST_CASE("one of two changes on one base is acknowledged, wherever a cut falls") {
  for (uint64_t seed = 1; seed <= 4; ++seed)
    for (Millis cut = 0; cut <= 16; ++cut) {
      Core c(seed);
      auto base = c.view("controller1")->revision;
      auto a = order(base, base.value() + 2), b = order(base, base.value() + 3);
      c.ask("controller1", "local:a1", "a", a, 900);
      c.w.run(cut);
      c.w.isolate("controller1");
      c.w.run(1000 - cut);
      c.ask("controller2", "local:b1", "b", b, 900);
      c.w.run(seed * 200);
      c.w.heal();
      c.w.run(2000);
      c.ask("controller3", "local:a2", "a", a, 900);
      c.ask("controller1", "local:b2", "b", b, 900);
      c.w.run(2000);
      INFO("seed " << seed << ", cut off after " << cut << " ms");
      auto yes = [&](const char* one, const char* two) {
        return c.count(one, CommitOutcome::committed) + c.count(two, CommitOutcome::committed);
      };
      auto no = [&](const char* one, const char* two) {
        return c.count(one, CommitOutcome::rejected) + c.count(two, CommitOutcome::rejected);
      };
      bool first = yes("local:a1", "local:a2") > 0;
      CHECK(first != (yes("local:b1", "local:b2") > 0));
      CHECK(first != (no("local:a1", "local:a2") > 0));
      CHECK(first == (no("local:b1", "local:b2") > 0));
      for (auto& [session, rs] : c.replies)
        for (auto& r : rs)
          if (r.outcome == CommitOutcome::rejected)
            CHECK(r.rejection == Rejection::revision_conflict);
    }
}

TEST_CASE("an order is acknowledged again only after a majority was heard, and never refused") {
  Core c(3);
  auto base = c.view("controller1")->revision;
  c.ask("controller2", "local:first", "a", order(base, 9));
  c.w.run(3000);
  REQUIRE(c.count("local:first", CommitOutcome::committed) == 1);
  c.w.isolate("controller1");
  c.ask("controller1", "local:again", "a", order(base, 9), 900);
  c.ask("controller1", "local:rival", "b", order(base, 9), 900);
  c.w.run(2000);
  CHECK(c.count("local:again", CommitOutcome::committed) == 0);
  CHECK(c.count("local:again", CommitOutcome::unknown) == 1);
  CHECK(c.count("local:rival", CommitOutcome::rejected) == 0);
  c.w.heal();
  c.w.run(2000);
  c.ask("controller1", "local:again", "a", order(base, 9), 900);
  c.ask("controller1", "local:rival", "b", order(base, 9), 900);
  c.w.run(2000);
  CHECK(c.count("local:again", CommitOutcome::committed) == 1);
  CHECK(c.count("local:rival", CommitOutcome::rejected) == 1);
}

TEST_CASE("eight orders at once on one base, and as many reads: one is taken, all are answered") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    Core c(seed);
    auto base = c.view("controller1")->revision;
    for (int i = 0; i < 8; ++i) {
      auto n = std::to_string(i);
      auto to = "controller" + std::to_string(1 + i % 3);
      c.ask(to, "local:order" + n, "order" + n, order(base, 20 + i), 900);
      c.ask(to, "local:read" + n, "read" + n, RemoveReplica{""}, 900);
    }
    c.w.run(900);
    size_t yes = 0, no = 0, reads = 0;
    for (int i = 0; i < 8; ++i) {
      auto n = std::to_string(i);
      yes += c.count("local:order" + n, CommitOutcome::committed);
      no += c.count("local:order" + n, CommitOutcome::rejected);
      reads += c.count("local:read" + n, CommitOutcome::rejected);
    }
    INFO("seed " << seed);
    CHECK(yes == 1);
    CHECK(no == 7);
    CHECK(reads == 8);
  }
}
