// What a platform's list of replicas says beyond the log.
#include "metadata/replica_list_reconciler.hpp"
#include "metadata/constants.hpp"
#include "runtime/constants.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

namespace {

constexpr TimePoint kStart = kProcessClockStart;

Replica listed(const std::string& name, ReplicaHealth health, Duration cold = {}) {
  return {name, "listed", "z", "http://10.0.0.1:80", health, {}, 8, "s", cold.count()};
}

/// A log that takes every change.
struct Log {
  Metadata metadata{};
  ReplicaListReconciler reconciler;

  /// Compares a reading with the log and commits the difference.
  std::optional<UpdateReplicas> read(const std::vector<Replica>& replicas, TimePoint now) {
    auto change = reconciler.reconcile(metadata.replicas, replicas, now);
    if (change)
      metadata = apply(metadata, {next(metadata.epoch), "", *change}).value();
    return change;
  }
};

}  // namespace

TEST_CASE("Replica list comparison commits only what the log lacks") {
  Log log;
  auto first = log.read({listed("a", ReplicaHealth::ready), listed("b", ReplicaHealth::warming_up, 3000ms)}, kStart);
  REQUIRE(first);
  CHECK(first->updated.size() == 2);

  // The cold time runs down as expected.
  CHECK_FALSE(
      log.read({listed("a", ReplicaHealth::ready), listed("b", ReplicaHealth::warming_up, 2500ms)}, kStart + 500ms));
  CHECK_FALSE(
      log.read({listed("a", ReplicaHealth::ready), listed("b", ReplicaHealth::warming_up, 2400ms)}, kStart + 1000ms));

  auto longer =
      log.read({listed("a", ReplicaHealth::ready), listed("b", ReplicaHealth::warming_up, 3000ms)}, kStart + 1500ms);
  REQUIRE(longer);
  CHECK(longer->updated == std::vector<Replica>{listed("b", ReplicaHealth::warming_up, 3000ms)});

  auto changed_health =
      log.read({listed("a", ReplicaHealth::draining), listed("b", ReplicaHealth::ready)}, kStart + 2000ms);
  REQUIRE(changed_health);
  CHECK(changed_health->updated.size() == 2);
  CHECK_FALSE(log.read({listed("a", ReplicaHealth::draining), listed("b", ReplicaHealth::ready)}, kStart + 2500ms));

  auto moved = listed("b", ReplicaHealth::ready);
  moved.service = "other";
  auto changed_service = log.read({listed("a", ReplicaHealth::draining), moved}, kStart + 3000ms);
  REQUIRE(changed_service);
  CHECK(changed_service->updated == std::vector<Replica>{moved});
}

TEST_CASE("A listed replica is removed after two readings without it, a configured one never") {
  Log log;
  log.read({listed("a", ReplicaHealth::ready), listed("b", ReplicaHealth::ready)}, kStart);
  log.metadata.replicas["own"] = {"own", "model", "z", "http://x", ReplicaHealth::ready, {}, 8, "", 0};

  CHECK_FALSE(log.read({listed("a", ReplicaHealth::ready)}, kStart + 500ms));
  CHECK_FALSE(log.read({listed("a", ReplicaHealth::ready), listed("b", ReplicaHealth::ready)}, kStart + 1000ms));
  CHECK_FALSE(log.read({listed("a", ReplicaHealth::ready)}, kStart + 1500ms));
  auto second_in_a_row = log.read({listed("a", ReplicaHealth::ready)}, kStart + 2000ms);

  REQUIRE(second_in_a_row);
  CHECK(second_in_a_row->removed == std::vector<std::string>{"b"});
  CHECK(log.metadata.replicas.count("own"));
}

TEST_CASE("Replica list comparison recovers after a change of reader and a lost commit") {
  Log log;
  log.read({listed("b", ReplicaHealth::warming_up, 3000ms)}, kStart);

  log.reconciler.reset();
  CHECK_FALSE(log.read({listed("b", ReplicaHealth::warming_up, 1000ms)}, kStart + 2000ms));

  auto before_the_commit = log.metadata;
  REQUIRE(log.read({listed("b", ReplicaHealth::warming_up, 3000ms)}, kStart + 2500ms));
  log.metadata = before_the_commit;
  CHECK(log.read({listed("b", ReplicaHealth::warming_up, 2500ms)}, kStart + 3000ms));
  CHECK_FALSE(log.read({listed("b", ReplicaHealth::warming_up, 2000ms)}, kStart + 3500ms));
}

TEST_CASE("A replica of a restored zone stays cold until the list can have caught up") {
  Log log;
  log.read({listed("a", ReplicaHealth::ready)}, kStart);
  log.metadata.replicas["a"].health = ReplicaHealth::warming_up;

  CHECK_FALSE(log.read({listed("a", ReplicaHealth::ready)}, kStart + 500ms));
  CHECK_FALSE(log.read({listed("a", ReplicaHealth::ready)}, kStart + 500ms + kMaxReplicaListLag - 1ms));
  REQUIRE(log.read({listed("a", ReplicaHealth::ready)}, kStart + 500ms + kMaxReplicaListLag));
  CHECK(log.metadata.replicas["a"].health == ReplicaHealth::ready);
}
