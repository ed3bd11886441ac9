// Injected faults: the model must detect each, or else that it finds no violation elsewhere would prove nothing.
#include <catch2/catch.hpp>

#include "model/explorer.hpp"
#include "model/starts.hpp"

using namespace mosskeel;
using namespace mosskeel::model;

namespace {

/// Far more walks and actions than the detection of an injected fault takes.
constexpr uint64_t kMaxWalks = 3000;
constexpr int kWalkActions = 120;
/// Actions in which a cluster without faults settles; more where time-outs must pass.
constexpr int kSettleActions = 400;
constexpr int kLongSettleActions = 3000;
/// Actions in which a command is committed.
constexpr int kCommandActions = 200;

Report walk_until_detected(const Cluster& start) {
  auto report = walk(start, 1, kMaxWalks, kWalkActions);
  WARN("detected after " << report.steps << " steps in " << report.runs << " walks: " << report.broken);
  return report;
}

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

/// The first rule that the cluster has broken; empty while there is none.
const std::string& violation_of(const Cluster& cluster) {
  return cluster.observer().broken();
}

bool has_violation(const Cluster& cluster) {
  return !violation_of(cluster).empty();
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

/// Partitions one node from all others.
void isolate(Cluster& cluster, size_t node) {
  cluster.apply({Kind::cut, node, size_t{1} << node, {}});
}

/// Ends all network partitions.
void heal(Cluster& cluster) {
  cluster.apply({Kind::heal, 0, 0, {}});
}

void restart(Cluster& cluster, size_t node) {
  cluster.apply({Kind::restart, node, 0, {}});
}

/// Lets nothing be synced on the disk of a node.
void stop_syncs(Cluster& cluster, size_t node) {
  cluster.apply({Kind::hold_disk, node, 0, {}});
}

/// Sends an operator's command to a node.
void send_command(Cluster& cluster, size_t node, size_t index) {
  cluster.apply({Kind::order, node, index, {}});
}

void drop_all_messages(Cluster& cluster) {
  while (cluster.in_flight())
    cluster.apply({Kind::lose, 0, 0, {}});
}

/// Delivers the first message of this kind from one node to another; false if there is none.
template <class Type>
bool deliver(Cluster& cluster, size_t from, size_t to) {
  for (size_t i = 0; i < cluster.in_flight(); ++i) {
    const auto& message = cluster.message(i);
    bool is_of_type = std::holds_alternative<Type>(message.body);
    bool is_from_sender = message.from_incarnation == cluster.incarnation(from);
    bool is_to_receiver = message.to == cluster.candidate(to).address;
    if (!is_of_type || !is_from_sender || !is_to_receiver)
      continue;
    cluster.apply({Kind::deliver, to, i, {}});
    return true;
  }
  return false;
}

/// Lets node 0 commit a change that no policy of the core would request.
void force_commit(Cluster& cluster, const Transformation& change, const std::string& commit_id) {
  auto before = cluster.view(0)->epoch;
  cluster.inject(0, from_outside(cluster.view(0)->cluster, Commit{commit_id, change, before, 0}));
  REQUIRE(settle(cluster, kSettleActions,
                 [&](const auto& state) { return state.view(0)->epoch_of_commit(commit_id) || has_violation(state); }));
}

/// Node 1 decides a value with an accept of node 0, which then restarts without having synced it; node 2 proposes
/// another value.
Cluster lose_unsynced_accept(Fault fault) {
  auto cluster = after_founding(with_fault(fault, false));
  stop_syncs(cluster, 0);
  deliver<Prepare>(cluster, 1, 0);
  deliver<Promise>(cluster, 0, 1);
  deliver<Accept>(cluster, 1, 0);
  deliver<Accepted>(cluster, 0, 1);
  restart(cluster, 0);

  isolate(cluster, 1);
  drop_all_messages(cluster);
  auto is_over = [](const Cluster& state) {
    return has_violation(state) || state.observer().acknowledged();
  };
  for (int attempt = 0; attempt < 2; ++attempt) {
    send_command(cluster, 2, 0);
    settle(cluster, kCommandActions, is_over);
  }

  heal(cluster);
  settle(cluster, kCommandActions, has_violation);
  return cluster;
}

}  // namespace

TEST_CASE("A quorum of one member less is detected", "[model]") {
  auto start = after_founding(with_fault(Fault::votes_of_absent));
  isolate(start, 2);

  auto violation = walk_until_detected(start).broken;

  CHECK((contains(violation, "two values") || contains(violation, "two changes on one base") ||
         contains(violation, "lacks the acknowledged")));
}

TEST_CASE("A promise that is sent before it is synced is detected", "[model]") {
  auto start = after_founding(with_fault(Fault::sends_before_sync));

  CHECK(contains(walk_until_detected(start).broken, "by a restart"));
}

TEST_CASE("An accept that is sent before it is synced lets two values be decided", "[model]") {
  CHECK(contains(violation_of(lose_unsynced_accept(Fault::sends_before_sync)), "two values"));
}

TEST_CASE("An accept that is sent once it is synced lets one value be decided", "[model]") {
  auto cluster = lose_unsynced_accept(Fault::none);

  CHECK(violation_of(cluster).empty());
  CHECK(cluster.observer().acknowledged() == 1);
}

TEST_CASE("A journal without promises and accepts is detected", "[model]") {
  auto start = after_founding(with_fault(Fault::votes_forgotten));

  CHECK(contains(walk_until_detected(start).broken, "by a restart"));
}

TEST_CASE("A member that is admitted before it has the log is detected", "[model]") {
  constexpr uint32_t kCoreSize = 4;
  constexpr size_t kLateNode = 3;
  const Addresses seeds{"c1", "c2", "c3"};
  Cluster cluster({});
  for (const auto& address : seeds)
    cluster.add(address, seeds, kCoreSize);
  REQUIRE(settle(cluster, kLongSettleActions,
                 [](const auto& state) { return state.view(0)->cluster && state.in_flight() == 0; }));
  cluster.add("c4", seeds, kCoreSize);
  isolate(cluster, kLateNode);
  force_commit(cluster, Register{cluster.candidate(kLateNode)}, "register");
  REQUIRE(violation_of(cluster).empty());

  force_commit(cluster, AddCoreMember{cluster.view(0)->find(cluster.incarnation(kLateNode))->id}, "admit");

  CHECK(contains(violation_of(cluster), "before it held the log"));
}

TEST_CASE("Two candidate sets at founding are detected", "[model]") {
  constexpr int kMaxActions = 2000;
  constexpr uint32_t kCoreSize = 2;
  const Addresses one{"c1", "c2"};
  const Addresses other{"c3", "c4"};
  Options options;
  options.quiet_step = 100ms;
  Cluster cluster(options);
  for (const auto& address : one)
    cluster.add(address, one, kCoreSize);
  for (const auto& address : other)
    cluster.add(address, other, kCoreSize);

  settle(cluster, kMaxActions, has_violation);

  CHECK(violation_of(cluster) == "two clusters were founded");
}

namespace {

/// A cluster after its re-founding, and what its first generation had, at a later epoch.
struct RefoundedCluster {
  Cluster cluster = before_refounding();
  Metadata first_generation = *cluster.view(0);

  RefoundedCluster() {
    REQUIRE(settle(cluster, kLongSettleActions, [](const auto& state) { return state.view(0)->generation == 2; }));
    REQUIRE(violation_of(cluster).empty());
    first_generation.epoch = Epoch{cluster.view(0)->epoch.value() + 5};
  }

  /// Node 0 receives the snapshot of the first generation in an envelope of this cluster id.
  void receive_snapshot(uint64_t cluster_id) {
    cluster.inject(0, from_outside(cluster_id, CatchupReply{first_generation.epoch, first_generation, {}}));
  }
};

}  // namespace

TEST_CASE("A snapshot in an envelope of an earlier generation is not installed", "[model]") {
  RefoundedCluster refounded;

  refounded.receive_snapshot(refounded.first_generation.cluster);

  CHECK(refounded.cluster.view(0)->generation == 2);
  CHECK(violation_of(refounded.cluster).empty());
}

TEST_CASE("A snapshot of an earlier generation in an envelope of the present one is not installed, or is detected",
          "[model]") {
  RefoundedCluster refounded;

  refounded.receive_snapshot(refounded.cluster.view(0)->cluster);

  CHECK((refounded.cluster.view(0)->generation == 2 || has_violation(refounded.cluster)));
  if (refounded.cluster.view(0)->generation == 1)
    CHECK(contains(violation_of(refounded.cluster), "earlier generation"));
}

TEST_CASE("A member that is replaced in one step is detected where two majorities need not intersect", "[model]") {
  constexpr size_t kLostNode = 2;
  constexpr size_t kSpareNode = 3;
  auto cluster = after_founding();
  REQUIRE(settle(cluster, kSettleActions, [](const auto& state) {
    return state.view(kSpareNode)->cluster && state.observer().acknowledged() == 1;
  }));
  if (!cluster.view(0)->find(cluster.incarnation(kSpareNode)))
    force_commit(cluster, Register{cluster.candidate(kSpareNode)}, "register");
  REQUIRE(settle(cluster, kSettleActions, [](const auto& state) { return state.in_flight() == 0; }));
  auto spare = cluster.view(0)->find(cluster.incarnation(kSpareNode))->id;
  auto lost = cluster.view(0)->find(cluster.incarnation(kLostNode))->id;
  isolate(cluster, kLostNode);
  force_commit(cluster, MarkDown{lost}, "down");

  force_commit(cluster, ReplaceCoreMember{lost, spare}, "replace");

  CHECK(contains(violation_of(cluster), "need not meet"));
}

namespace {

/// Indexes of the commands that `cluster_with_two_more_commands` adds.
constexpr size_t kThirdCommand = 2;
constexpr size_t kFourthCommand = 3;

/// A founded cluster at rest, whose operator has two further changes to send.
Cluster cluster_with_two_more_commands() {
  auto cluster = after_founding();
  REQUIRE(settle(cluster, kSettleActions, [](const auto& state) { return state.observer().acknowledged() == 1; }));
  drop_all_messages(cluster);
  REQUIRE(cluster.view(0)->epoch == cluster.view(1)->epoch);
  REQUIRE(cluster.view(0)->epoch == cluster.view(2)->epoch);
  Configuration changed{{Cell{"c", 1000, 100, 60000, {{"chat", "model", {}}}}}};
  cluster.submit({"third", ApplyConfiguration{cluster.view(0)->revision, changed}});
  cluster.submit({"fourth", ApplyConfiguration{cluster.view(0)->revision, cluster.view(0)->configuration}});
  cluster.budget.resends = 4;
  return cluster;
}

/// Node 0 proposes the third command with the promises of nodes 1 and 2, and node 1 accepts it; nothing of node 0's is
/// synced.
void propose_without_syncs(Cluster& cluster) {
  stop_syncs(cluster, 0);
  send_command(cluster, 0, kThirdCommand);
  for (size_t voter : {1, 2}) {
    REQUIRE(deliver<Prepare>(cluster, 0, voter));
    REQUIRE(deliver<Promise>(cluster, voter, 0));
  }
  REQUIRE(deliver<Accept>(cluster, 0, 1));
}

}  // namespace

TEST_CASE("A proposer that has restarted does not count an accept for a proposal before its restart", "[model]") {
  auto cluster = cluster_with_two_more_commands();
  // Before and after the next restart the proposer counts its rounds from the same one on.
  restart(cluster, 0);
  propose_without_syncs(cluster);
  restart(cluster, 0);
  send_command(cluster, 0, kFourthCommand);
  REQUIRE(deliver<Prepare>(cluster, 0, 2));
  deliver<Promise>(cluster, 2, 0);

  REQUIRE(deliver<Accepted>(cluster, 1, 0));

  CHECK(!cluster.view(0)->epoch_of_commit("fourth"));

  isolate(cluster, 0);
  send_command(cluster, 1, kThirdCommand);
  settle(cluster, kSettleActions, has_violation);

  CHECK(violation_of(cluster).empty());
  CHECK(cluster.view(1)->epoch_of_commit("third"));
}
