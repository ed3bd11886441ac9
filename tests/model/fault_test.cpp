// Planted faults: the model must notice each, or its silence elsewhere says nothing.
#include <catch2/catch.hpp>

#include "model/explorer.hpp"
#include "model/starts.hpp"

using namespace mosskeel;
using namespace mosskeel::model;

namespace {

/// Far more walks and actions than a planted fault needs to be noticed.
constexpr uint64_t kMostWalks = 3000;
constexpr int kWalkActions = 120;
/// Actions in which a cluster without trouble settles; more where time-outs must pass.
constexpr int kSettleActions = 400;
constexpr int kLongSettleActions = 3000;
constexpr int kOrderActions = 200;

Report walk_until_noticed(const Cluster& start) {
  auto report = walk(start, 1, kMostWalks, kWalkActions);
  WARN("noticed after " << report.steps << " steps in " << report.runs << " walks: " << report.broken);
  return report;
}

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

const std::string& broken_in(const Cluster& cluster) {
  return cluster.observer().broken();
}

bool is_broken(const Cluster& cluster) {
  return !broken_in(cluster).empty();
}

Options with_fault(Fault fault, bool watch_restarts = true) {
  Options options;
  options.fault = fault;
  options.watch_restarts = watch_restarts;
  return options;
}

Envelope from_outside(uint64_t cluster, Message message) {
  Envelope envelope{};
  envelope.from = "local:test";
  envelope.cluster = cluster;
  envelope.body = std::move(message);
  return envelope;
}

/// Cuts one node off from all others.
void cut_off(Cluster& cluster, size_t node) {
  cluster.apply({Kind::cut, node, size_t{1} << node, {}});
}

void heal(Cluster& cluster) {
  cluster.apply({Kind::heal, 0, 0, {}});
}

void restart(Cluster& cluster, size_t node) {
  cluster.apply({Kind::restart, node, 0, {}});
}

void hold_disk(Cluster& cluster, size_t node) {
  cluster.apply({Kind::hold_disk, node, 0, {}});
}

void send_order(Cluster& cluster, size_t node, size_t index) {
  cluster.apply({Kind::order, node, index, {}});
}

void lose_all_messages(Cluster& cluster) {
  while (cluster.in_flight())
    cluster.apply({Kind::lose, 0, 0, {}});
}

/// Delivers the first message of this kind from one node to another; false if there is none.
template <class Type>
bool deliver(Cluster& cluster, size_t from, size_t to) {
  for (size_t i = 0; i < cluster.in_flight(); ++i) {
    const auto& message = cluster.message(i);
    if (!std::holds_alternative<Type>(message.body) || message.from_incarnation != cluster.incarnation(from) ||
        message.to != cluster.candidate(to).address)
      continue;
    cluster.apply({Kind::deliver, to, i, {}});
    return true;
  }
  return false;
}

/// Lets node 0 commit a change without asking whether it is wise.
void force(Cluster& cluster, const Transformation& change, const std::string& id) {
  auto before = cluster.view(0)->epoch;
  cluster.inject(0, from_outside(cluster.view(0)->cluster, Commit{id, change, before, 0}));
  REQUIRE(settle(cluster, kSettleActions,
                 [&](const auto& state) { return state.view(0)->epoch_of_commit(id) || is_broken(state); }));
}

/// Node 1 decides with the vote of node 0, whose disk is slow and whose process then ends; node 2 proposes another
/// value.
Cluster lose_vote(Fault fault) {
  auto cluster = after_founding(with_fault(fault, false));
  hold_disk(cluster, 0);
  deliver<Prepare>(cluster, 1, 0);
  deliver<Promise>(cluster, 0, 1);
  deliver<Accept>(cluster, 1, 0);
  deliver<Accepted>(cluster, 0, 1);
  restart(cluster, 0);
  cut_off(cluster, 1);
  lose_all_messages(cluster);
  auto is_over = [](const Cluster& state) {
    return is_broken(state) || state.observer().acknowledged();
  };
  for (int i = 0; i < 2; ++i) {
    send_order(cluster, 2, 0);
    settle(cluster, kOrderActions, is_over);
  }
  heal(cluster);
  settle(cluster, kOrderActions, is_broken);
  return cluster;
}

}  // namespace

TEST_CASE("a quorum of one member less is noticed", "[model]") {
  auto start = after_founding(with_fault(Fault::votes_of_absent));
  cut_off(start, 2);
  auto broken = walk_until_noticed(start).broken;
  CHECK((contains(broken, "two values") || contains(broken, "two changes on one base") ||
         contains(broken, "lacks the acknowledged")));
}

TEST_CASE("a promise that leaves before it is synced is noticed", "[model]") {
  auto start = after_founding(with_fault(Fault::sends_before_sync));
  CHECK(contains(walk_until_noticed(start).broken, "by a restart"));
}

TEST_CASE("a vote that leaves before it is synced lets two values be decided", "[model]") {
  CHECK(contains(broken_in(lose_vote(Fault::sends_before_sync)), "two values"));
  auto sound = lose_vote(Fault::none);
  CHECK(broken_in(sound).empty());
  CHECK(sound.observer().acknowledged() == 1);
}

TEST_CASE("a journal without promises and votes is noticed", "[model]") {
  auto start = after_founding(with_fault(Fault::votes_forgotten));
  CHECK(contains(walk_until_noticed(start).broken, "by a restart"));
}

TEST_CASE("a member that counts before it holds the log is noticed", "[model]") {
  constexpr uint32_t core_size = 4;
  const Addresses seeds{"c1", "c2", "c3"};
  Cluster cluster({});
  for (const auto& address : seeds)
    cluster.add(address, seeds, core_size);
  REQUIRE(settle(cluster, kLongSettleActions,
                 [](const auto& state) { return state.view(0)->cluster && state.in_flight() == 0; }));
  cluster.add("c4", seeds, core_size);
  cut_off(cluster, 3);
  force(cluster, Register{cluster.candidate(3)}, "register");
  REQUIRE(broken_in(cluster).empty());
  force(cluster, AddCoreMember{cluster.view(0)->find(cluster.incarnation(3))->id}, "admit");
  CHECK(contains(broken_in(cluster), "before it held the log"));
}

TEST_CASE("two candidate sets at founding are noticed", "[model]") {
  constexpr int most_actions = 2000;
  constexpr uint32_t core_size = 2;
  const Addresses one{"c1", "c2"};
  const Addresses other{"c3", "c4"};
  Options options;
  options.quiet_step = 100ms;
  Cluster cluster(options);
  for (const auto& address : one)
    cluster.add(address, one, core_size);
  for (const auto& address : other)
    cluster.add(address, other, core_size);
  settle(cluster, most_actions, is_broken);
  CHECK(broken_in(cluster) == "two clusters were founded");
}

TEST_CASE("a snapshot of an old generation is noticed where it is taken, and isn't taken", "[model]") {
  auto cluster = before_refounding();
  auto old = *cluster.view(0);
  REQUIRE(settle(cluster, kLongSettleActions, [](const auto& state) { return state.view(0)->generation == 2; }));
  REQUIRE(broken_in(cluster).empty());
  auto former = old.cluster;
  old.epoch = Epoch{cluster.view(0)->epoch.value() + 5};
  SECTION("the envelope names the old generation: refused") {
    cluster.inject(0, from_outside(former, CatchupReply{old.epoch, old, {}}));
    CHECK(cluster.view(0)->generation == 2);
    CHECK(broken_in(cluster).empty());
  }
  SECTION("the envelope was forged: noticed") {
    cluster.inject(0, from_outside(cluster.view(0)->cluster, CatchupReply{old.epoch, old, {}}));
    CHECK((cluster.view(0)->generation == 2 || is_broken(cluster)));
    if (cluster.view(0)->generation == 1)
      CHECK(contains(broken_in(cluster), "earlier generation"));
  }
}

TEST_CASE("a member replaced by another in one step leaves two majorities that need not meet", "[model]") {
  auto cluster = after_founding();
  REQUIRE(settle(cluster, kSettleActions,
                 [](const auto& state) { return state.view(3)->cluster && state.observer().acknowledged() == 1; }));
  if (!cluster.view(0)->find(cluster.incarnation(3)))
    force(cluster, Register{cluster.candidate(3)}, "register");
  REQUIRE(settle(cluster, kSettleActions, [](const auto& state) { return state.in_flight() == 0; }));
  auto newcomer = cluster.view(0)->find(cluster.incarnation(3))->id;
  auto lost = cluster.view(0)->find(cluster.incarnation(2))->id;
  cut_off(cluster, 2);
  force(cluster, MarkDown{lost}, "down");
  force(cluster, ReplaceCoreMember{lost, newcomer}, "replace");
  CHECK(contains(broken_in(cluster), "need not meet"));
}

/// Node 0 proposes one change with a slow disk, starts again and proposes another; a late vote for the first arrives.
TEST_CASE("a proposer that starts again does not count votes of its earlier life", "[model]") {
  constexpr size_t third_order = 2;
  constexpr size_t fourth_order = 3;
  auto cluster = after_founding();
  REQUIRE(settle(cluster, kSettleActions, [](const auto& state) { return state.observer().acknowledged() == 1; }));
  lose_all_messages(cluster);
  REQUIRE(cluster.view(0)->epoch == cluster.view(1)->epoch);
  REQUIRE(cluster.view(0)->epoch == cluster.view(2)->epoch);
  Configuration changed{{Cell{"c", 1000, 100, 60000, {{"chat", "model", {}}}}}};
  cluster.submit({"third", ApplyConfiguration{cluster.view(0)->revision, changed}});
  cluster.submit({"fourth", ApplyConfiguration{cluster.view(0)->revision, cluster.view(0)->configuration}});
  cluster.budget.resends = 4;
  // Both lives count their rounds from the start.
  restart(cluster, 0);
  hold_disk(cluster, 0);
  send_order(cluster, 0, third_order);
  for (size_t voter : {1, 2}) {
    REQUIRE(deliver<Prepare>(cluster, 0, voter));
    REQUIRE(deliver<Promise>(cluster, voter, 0));
  }
  REQUIRE(deliver<Accept>(cluster, 0, 1));
  restart(cluster, 0);
  send_order(cluster, 0, fourth_order);
  REQUIRE(deliver<Prepare>(cluster, 0, 2));
  deliver<Promise>(cluster, 2, 0);
  REQUIRE(deliver<Accepted>(cluster, 1, 0));
  CHECK(!cluster.view(0)->epoch_of_commit("fourth"));
  cut_off(cluster, 0);
  send_order(cluster, 1, third_order);
  settle(cluster, kSettleActions, is_broken);
  CHECK(broken_in(cluster).empty());
  CHECK(cluster.view(1)->epoch_of_commit("third"));
}
