// Planted faults: the model must notice each, or its silence elsewhere says nothing.
#include <catch2/catch.hpp>

#include "model/explorer.hpp"
#include "model/starts.hpp"

using namespace mosskeel;
using namespace mosskeel::model;

namespace {

constexpr uint64_t most_seeds = 3000;
constexpr int steps = 120;

Report noticed(const Cluster& from) {
  auto r = walk(from, 1, most_seeds, steps);
  WARN("noticed after " << r.steps << " steps in " << r.runs << " walks: " << r.broken);
  return r;
}

bool says(const Report& r, const std::string& what) {
  return r.broken.find(what) != std::string::npos;
}

Options with(Fault f, bool watch_restarts = true) {
  Options o;
  o.fault = f;
  o.watch_restarts = watch_restarts;
  return o;
}

Envelope from_outside(uint64_t cluster, Message m) {
  Envelope e{};
  e.from = "local:test";
  e.cluster = cluster;
  e.body = std::move(m);
  return e;
}

/// Delivers the first message of this kind from one node to another; false if there is none.
template <class T>
bool deliver(Cluster& c, size_t from, size_t to) {
  for (size_t i = 0; i < c.in_flight(); ++i) {
    auto& m = c.message(i);
    if (std::holds_alternative<T>(m.body) && m.from_incarnation == c.incarnation(from) &&
        m.to == c.candidate(to).address)
      return c.apply({Kind::deliver, to, i, {}}), true;
  }
  return false;
}

/// Lets node 0 commit a change without asking whether it is wise.
void force(Cluster& c, const Transformation& change, const std::string& id) {
  auto before = c.view(0)->epoch;
  c.inject(0, from_outside(c.view(0)->cluster, Commit{id, change, before}));
  REQUIRE(settle(c, 400, [&](auto& x) { return x.view(0)->epoch_of_commit(id) || !x.observer().broken().empty(); }));
}

}  // namespace

TEST_CASE("a quorum of one member less is noticed", "[model]") {
  auto from = after_founding(with(Fault::votes_of_absent));
  from.apply({Kind::cut, 2, 4, {}});
  auto r = noticed(from);
  CHECK((says(r, "two values") || says(r, "two changes on one base") || says(r, "lacks the acknowledged")));
}

TEST_CASE("a promise that leaves before it is synced is noticed", "[model]") {
  CHECK(says(noticed(after_founding(with(Fault::sends_before_sync))), "by a restart"));
}

/// Node 1 decides with the vote of node 0, whose disk is slow and whose process then ends; node 2 proposes another
/// value.
Cluster vote_lost(Fault fault) {
  auto c = after_founding(with(fault, false));
  c.apply({Kind::hold_disk, 0, 0, {}});
  deliver<Prepare>(c, 1, 0);
  deliver<Promise>(c, 0, 1);
  deliver<Accept>(c, 1, 0);
  deliver<Accepted>(c, 0, 1);
  c.apply({Kind::restart, 0, 0, {}});
  c.apply({Kind::cut, 1, 2, {}});
  while (c.in_flight())
    c.apply({Kind::lose, 0, 0, {}});
  auto over = [](const Cluster& x) {
    return !x.observer().broken().empty() || x.observer().acknowledged();
  };
  c.apply({Kind::order, 2, 0, {}});
  settle(c, 200, over);
  c.apply({Kind::order, 2, 0, {}});
  settle(c, 200, over);
  c.apply({Kind::heal, 0, 0, {}});
  settle(c, 200, [](auto& x) { return !x.observer().broken().empty(); });
  return c;
}

TEST_CASE("a vote that leaves before it is synced lets two values be decided", "[model]") {
  CHECK(vote_lost(Fault::sends_before_sync).observer().broken().find("two values") != std::string::npos);
  auto c = vote_lost(Fault::none);
  CHECK(c.observer().broken().empty());
  CHECK(c.observer().acknowledged() == 1);
}

TEST_CASE("a journal without promises and votes is noticed", "[model]") {
  CHECK(says(noticed(after_founding(with(Fault::votes_forgotten))), "by a restart"));
}

TEST_CASE("a member that counts before it holds the log is noticed", "[model]") {
  Cluster c({});
  const Addresses seeds{"c1", "c2", "c3"};
  for (auto& a : seeds)
    c.add(a, seeds, 4);
  REQUIRE(settle(c, 3000, [](auto& x) { return x.view(0)->cluster && x.in_flight() == 0; }));
  c.add("c4", seeds, 4);
  c.apply({Kind::cut, 3, 8, {}});
  force(c, Register{c.candidate(3)}, "register");
  REQUIRE(c.observer().broken().empty());
  force(c, AddCoreMember{c.view(0)->find(c.incarnation(3))->id}, "admit");
  CHECK(c.observer().broken().find("before it held the log") != std::string::npos);
}

TEST_CASE("two candidate sets at founding are noticed", "[model]") {
  Options o;
  o.quiet_step = 100ms;
  Cluster c(o);
  const Addresses one{"c1", "c2"}, other{"c3", "c4"};
  for (auto& a : one)
    c.add(a, one, 2);
  for (auto& a : other)
    c.add(a, other, 2);
  settle(c, 2000, [](auto& x) { return !x.observer().broken().empty(); });
  CHECK(c.observer().broken() == "two clusters were founded");
}

TEST_CASE("a snapshot of an old generation is noticed where it is taken, and isn't taken", "[model]") {
  auto c = before_refounding();
  auto old = *c.view(0);
  REQUIRE(settle(c, 3000, [](auto& x) { return x.view(0)->generation == 2; }));
  REQUIRE(c.observer().broken().empty());
  auto former = old.cluster;
  old.epoch = Epoch{c.view(0)->epoch.value() + 5};
  SECTION("the envelope names the old generation: refused") {
    c.inject(0, from_outside(former, CatchupReply{old.epoch, old, {}}));
    CHECK(c.view(0)->generation == 2);
    CHECK(c.observer().broken().empty());
  }
  SECTION("the envelope was forged: noticed") {
    c.inject(0, from_outside(c.view(0)->cluster, CatchupReply{old.epoch, old, {}}));
    CHECK((c.view(0)->generation == 2 || !c.observer().broken().empty()));
    if (c.view(0)->generation == 1)
      CHECK(c.observer().broken().find("earlier generation") != std::string::npos);
  }
}

TEST_CASE("a member replaced by another in one step leaves two majorities that need not meet", "[model]") {
  auto c = after_founding();
  REQUIRE(settle(c, 400, [](auto& x) { return x.view(3)->cluster && x.observer().acknowledged() == 1; }));
  auto* spare = c.view(0)->find(c.incarnation(3));
  if (!spare)
    force(c, Register{c.candidate(3)}, "register");
  REQUIRE(settle(c, 400, [](auto& x) { return x.in_flight() == 0; }));
  auto fresh = c.view(0)->find(c.incarnation(3))->id, lost = c.view(0)->find(c.incarnation(2))->id;
  c.apply({Kind::cut, 2, 4, {}});
  force(c, MarkDown{lost}, "down");
  force(c, ReplaceCoreMember{lost, fresh}, "replace");
  CHECK(c.observer().broken().find("need not meet") != std::string::npos);
}

/// Node 0 proposes one change with a slow disk, starts again and proposes another; a late vote for the first arrives.
TEST_CASE("a proposer that starts again does not count votes of its earlier life", "[model]") {
  auto c = after_founding();
  REQUIRE(settle(c, 400, [](auto& x) { return x.observer().acknowledged() == 1; }));
  while (c.in_flight())
    c.apply({Kind::lose, 0, 0, {}});
  REQUIRE(c.view(0)->epoch == c.view(1)->epoch);
  REQUIRE(c.view(0)->epoch == c.view(2)->epoch);
  Configuration changed{{Cell{"c", 1000, 100, 60000, {{"chat", "model", {}}}}}};
  c.submit({"third", ApplyConfiguration{c.view(0)->revision, changed}});
  c.submit({"fourth", ApplyConfiguration{c.view(0)->revision, c.view(0)->configuration}});
  c.budget.resends = 4;
  c.apply({Kind::restart, 0, 0, {}});  // so that both lives count their rounds from the start
  c.apply({Kind::hold_disk, 0, 0, {}});
  c.apply({Kind::order, 0, 2, {}});
  for (size_t voter : {1, 2}) {
    REQUIRE(deliver<Prepare>(c, 0, voter));
    REQUIRE(deliver<Promise>(c, voter, 0));
  }
  REQUIRE(deliver<Accept>(c, 0, 1));
  c.apply({Kind::restart, 0, 0, {}});
  c.apply({Kind::order, 0, 3, {}});
  REQUIRE(deliver<Prepare>(c, 0, 2));
  deliver<Promise>(c, 2, 0);
  REQUIRE(deliver<Accepted>(c, 1, 0));
  CHECK(!c.view(0)->epoch_of_commit("fourth"));
  c.apply({Kind::cut, 0, 1, {}});
  c.apply({Kind::order, 1, 2, {}});
  settle(c, 400, [](auto& x) { return !x.observer().broken().empty(); });
  CHECK(c.observer().broken().empty());
  CHECK(c.view(1)->epoch_of_commit("third"));
}
