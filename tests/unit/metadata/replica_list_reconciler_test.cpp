// Which readings of the platform's replica list lead to a change of the log.
#include "metadata/replica_list_reconciler.hpp"
#include "metadata/constants.hpp"
#include "runtime/constants.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

namespace {

constexpr TimePoint kStart = kProcessClockStart;

/// A replica on the platform's list; `warm_up` is the time until it gets its full share of requests.
Replica listed(const std::string& name, ReplicaHealth health, Duration warm_up = {}) {
  return {name, "listed", "z", "http://10.0.0.1:80", health, {}, 8, "s", warm_up.count()};
}

/// A metadata value to which every change that the reconciler requests is committed.
struct ReconciledMetadata {
  Metadata metadata{};
  ReplicaListReconciler reconciler;

  /// Compares a reading with the metadata and commits the difference, if there is one.
  std::optional<UpdateReplicas> read(const std::vector<Replica>& replicas, TimePoint now) {
    auto change = reconciler.reconcile(metadata.replicas, replicas, now);
    if (change)
      metadata = apply(metadata, {next(metadata.epoch), "", *change}).value();
    return change;
  }
};

}  // namespace

TEST_CASE("A reading of the replica list commits the replicas that the log lacks") {
  ReconciledMetadata log;

  auto change = log.read({listed("a", ReplicaHealth::ready), listed("b", ReplicaHealth::warming_up, 3000ms)}, kStart);

  REQUIRE(change);
  CHECK(change->updated.size() == 2);
}

TEST_CASE("A warm-up time is committed only if it has not decreased as expected") {
  ReconciledMetadata log;
  log.read({listed("a", ReplicaHealth::ready), listed("b", ReplicaHealth::warming_up, 3000ms)}, kStart);

  CHECK_FALSE(
      log.read({listed("a", ReplicaHealth::ready), listed("b", ReplicaHealth::warming_up, 2500ms)}, kStart + 500ms));
  CHECK_FALSE(
      log.read({listed("a", ReplicaHealth::ready), listed("b", ReplicaHealth::warming_up, 2400ms)}, kStart + 1000ms));

  auto change =
      log.read({listed("a", ReplicaHealth::ready), listed("b", ReplicaHealth::warming_up, 3000ms)}, kStart + 1500ms);
  REQUIRE(change);
  CHECK(change->updated == std::vector<Replica>{listed("b", ReplicaHealth::warming_up, 3000ms)});
}

TEST_CASE("A change of replicas' health is committed once") {
  ReconciledMetadata log;
  log.read({listed("a", ReplicaHealth::ready), listed("b", ReplicaHealth::warming_up, 3000ms)}, kStart);

  auto change = log.read({listed("a", ReplicaHealth::draining), listed("b", ReplicaHealth::ready)}, kStart + 2000ms);

  REQUIRE(change);
  CHECK(change->updated.size() == 2);
  CHECK_FALSE(log.read({listed("a", ReplicaHealth::draining), listed("b", ReplicaHealth::ready)}, kStart + 2500ms));
}

TEST_CASE("A replica that moves to another service is committed") {
  ReconciledMetadata log;
  auto replica = listed("b", ReplicaHealth::ready);
  log.read({listed("a", ReplicaHealth::draining), replica}, kStart + 2500ms);
  auto moved = replica;
  moved.service = "other";

  auto change = log.read({listed("a", ReplicaHealth::draining), moved}, kStart + 3000ms);

  REQUIRE(change);
  CHECK(change->updated == std::vector<Replica>{moved});
}

TEST_CASE("A listed replica is removed after two consecutive readings without it, a configured one never") {
  ReconciledMetadata log;
  log.read({listed("a", ReplicaHealth::ready), listed("b", ReplicaHealth::ready)}, kStart);
  log.metadata.replicas["own"] = {"own", "model", "z", "http://x", ReplicaHealth::ready, {}, 8, "", 0};

  CHECK_FALSE(log.read({listed("a", ReplicaHealth::ready)}, kStart + 500ms));
  CHECK_FALSE(log.read({listed("a", ReplicaHealth::ready), listed("b", ReplicaHealth::ready)}, kStart + 1000ms));
  CHECK_FALSE(log.read({listed("a", ReplicaHealth::ready)}, kStart + 1500ms));
  auto change = log.read({listed("a", ReplicaHealth::ready)}, kStart + 2000ms);

  REQUIRE(change);
  CHECK(change->removed == std::vector<std::string>{"b"});
  CHECK(log.metadata.replicas.count("own"));
}

TEST_CASE("After a change of the reader, a shorter remaining warm-up time is not a change") {
  ReconciledMetadata log;
  log.read({listed("b", ReplicaHealth::warming_up, 3000ms)}, kStart);

  log.reconciler.reset();

  CHECK_FALSE(log.read({listed("b", ReplicaHealth::warming_up, 1000ms)}, kStart + 2000ms));
}

TEST_CASE("A change whose commit was lost is requested again") {
  ReconciledMetadata log;
  log.read({listed("b", ReplicaHealth::warming_up, 3000ms)}, kStart);
  log.reconciler.reset();
  REQUIRE_FALSE(log.read({listed("b", ReplicaHealth::warming_up, 1000ms)}, kStart + 2000ms));
  auto before_commit = log.metadata;
  REQUIRE(log.read({listed("b", ReplicaHealth::warming_up, 3000ms)}, kStart + 2500ms));

  log.metadata = before_commit;

  CHECK(log.read({listed("b", ReplicaHealth::warming_up, 2500ms)}, kStart + 3000ms));
  CHECK_FALSE(log.read({listed("b", ReplicaHealth::warming_up, 2000ms)}, kStart + 3500ms));
}

TEST_CASE("A replica of a restored zone stays warming up until the replica list has had time to catch up") {
  ReconciledMetadata log;
  log.read({listed("a", ReplicaHealth::ready)}, kStart);
  log.metadata.replicas["a"].health = ReplicaHealth::warming_up;

  CHECK_FALSE(log.read({listed("a", ReplicaHealth::ready)}, kStart + 500ms));
  CHECK_FALSE(log.read({listed("a", ReplicaHealth::ready)}, kStart + 500ms + kMaxReplicaListLag - 1ms));
  REQUIRE(log.read({listed("a", ReplicaHealth::ready)}, kStart + 500ms + kMaxReplicaListLag));
  CHECK(log.metadata.replicas["a"].health == ReplicaHealth::ready);
}
