#include "programs/replica_selector.hpp"
#include "metadata/constants.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

TEST_CASE("A replica's capacity is shared out over the fronts, and grows from one while it warms up") {
  Metadata metadata;
  for (uint64_t number = 1; number <= 6; ++number) {
    DaemonId id{number};
    Candidate self{Incarnation{number}, Role::gateway, "a", "f" + std::to_string(number), "", ""};
    metadata.directory[id] = {id, self, DaemonState::up, {}};
  }
  constexpr TimePoint kStart{1000ms};
  struct Row {
    ReplicaHealth health;
    uint32_t capacity;
    Duration elapsed;
    uint32_t expected_sum;
  };
  const Row rows[] = {{ReplicaHealth::ready, 32, 0ms, 32},
                      {ReplicaHealth::ready, 6, 0ms, 6},
                      {ReplicaHealth::ready, 3, 0ms, 6},
                      {ReplicaHealth::draining, 32, 0ms, 0},
                      {ReplicaHealth::warming_up, 32, 0ms, 1},
                      {ReplicaHealth::warming_up, 32, kSlowStartDuration / 2, 16},
                      {ReplicaHealth::warming_up, 32, kSlowStartDuration * 2, 32}};
  for (auto& row : rows) {
    uint32_t sum = 0;
    for (auto& [id, front] : metadata.directory) {
      ReplicaSelector selector;
      Replica replica{"model1", "model", "a", "http://x", row.health, Epoch{9}, row.capacity};
      selector.usable_capacity(replica, metadata, front, kStart);
      sum += selector.usable_capacity(replica, metadata, front, kStart + row.elapsed);
    }
    INFO(name(row.health) << " " << row.capacity << " after " << row.elapsed.count() << " ms");
    CHECK(sum == row.expected_sum);
  }
}
