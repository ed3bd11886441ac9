// Tests how the capacity of a replica is divided among the gateways.
#include "programs/replica_selector.hpp"
#include "metadata/constants.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

namespace {

constexpr TimePoint kStart{1000ms};

Metadata six_gateways() {
  Metadata metadata;
  for (uint64_t number = 1; number <= 6; ++number) {
    DaemonId id{number};
    DaemonInfo self{Incarnation{number}, Role::gateway, "a", "gateway" + std::to_string(number), "", ""};
    metadata.directory[id] = {id, self, DaemonState::up, {}};
  }
  return metadata;
}

/// The capacity of the replica for one gateway that has known the replica for `elapsed`.
uint32_t capacity_for(const Daemon& gateway, const Metadata& metadata, const Replica& replica, Duration elapsed) {
  ReplicaSelector selector;
  selector.usable_capacity(replica, metadata, gateway, kStart);
  return selector.usable_capacity(replica, metadata, gateway, kStart + elapsed);
}

}  // namespace

TEST_CASE("A replica's capacity is divided among the gateways, and grows from one while the replica warms up") {
  Metadata metadata = six_gateways();
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
    Replica replica{"model1", "model", "a", "http://x", row.health, Epoch{9}, row.capacity};

    uint32_t sum = 0;
    for (auto& [id, gateway] : metadata.directory)
      sum += capacity_for(gateway, metadata, replica, row.elapsed);

    INFO(name(row.health) << " " << row.capacity << " after " << row.elapsed.count() << " ms");
    CHECK(sum == row.expected_sum);
  }
}
