// The stores that keep the replicas of a partition, and the resulting quorums.
#include <algorithm>

#include "metadata/constants.hpp"
#include "unit/catch.hpp"
#include "unit/metadata/metadata_fixture.hpp"

using namespace mosskeel;
using mosskeel::test::StoreFleet;

namespace {

constexpr uint64_t kStores = 8;
/// Of the default fleet, whose histories survive the simultaneous loss of two machines.
constexpr size_t kReplicationFactor = 5;

/// The largest number of replicas of a partition in one zone.
long most_in_one_zone(const Metadata& metadata, const Partition& partition) {
  std::map<std::string, long> replicas_by_zone;
  for (auto id : partition.stores)
    ++replicas_by_zone[metadata.find(id)->self.zone];
  long most = 0;
  for (auto& [zone, replicas] : replicas_by_zone)
    most = std::max(most, replicas);
  return most;
}

long replicas_on(const Partition& partition, DaemonId store) {
  return std::count(partition.stores.begin(), partition.stores.end(), store);
}

/// Marks the stores as down and moves their partitions to the others.
void repair_lost_stores(StoreFleet& fleet, const std::vector<DaemonId>& stores) {
  for (auto store : stores)
    fleet.commit(MarkDown{store});
  for (auto store : stores)
    fleet.commit(PrepareRepair{store});
  for (auto store : stores)
    fleet.finish_sequence(store);
}

}  // namespace

TEST_CASE("Read and write quorums intersect, and a committed record survives the tolerated losses") {
  for (uint32_t tolerated_losses = 0; tolerated_losses <= 3; ++tolerated_losses) {
    Metadata metadata{};
    metadata.configured_replication_factor = replication_factor_for(tolerated_losses, 1);

    for (size_t stores = metadata.write_quorum(0); stores <= metadata.configured_replication_factor + 1; ++stores) {
      CHECK(metadata.write_quorum(stores) + metadata.read_quorum(stores) > stores);
      CHECK(metadata.write_quorum(stores) > tolerated_losses);
    }
    auto all_stores = metadata.replication_factor();
    CHECK(metadata.write_quorum(all_stores) <= all_stores - tolerated_losses);
    CHECK(metadata.read_quorum(all_stores) <= all_stores - tolerated_losses);
  }
}

TEST_CASE("A write quorum does not shrink with the set of stores, and three replicas are the default") {
  StoreFleet default_fleet(2, 0);
  StoreFleet wide_fleet(2);

  CHECK(default_fleet.metadata.replication_factor() == kDefaultHistoryReplicas);
  CHECK(default_fleet.metadata.write_quorum(1) == 2);
  CHECK(default_fleet.metadata.write_quorum(2) == 2);
  CHECK(wide_fleet.metadata.write_quorum(2) == 3);
}

TEST_CASE("Each partition has its full number of stores, spread evenly and over the zones") {
  StoreFleet fleet(kStores);

  std::map<DaemonId, size_t> replicas_by_store;
  for (auto& partition : fleet.metadata.partitions) {
    CHECK(partition.stores.size() == kReplicationFactor);
    CHECK(most_in_one_zone(fleet.metadata, partition) <= 2);
    for (auto id : partition.stores)
      ++replicas_by_store[id];
  }

  constexpr size_t kEvenShare = kPartitionCount * kReplicationFactor / kStores;
  for (auto& [id, replicas] : replicas_by_store)
    CHECK(replicas >= kEvenShare / 2);
}

TEST_CASE("A store that is up is not repaired") {
  StoreFleet fleet(kStores);

  CHECK(fleet.is_rejected(PrepareRepair{fleet.id("store11")}));
}

TEST_CASE("The partitions of two lost stores are repaired by concurrent sequences") {
  StoreFleet fleet(kStores);
  auto first = fleet.id("store11");
  auto second = fleet.id("store12");
  fleet.commit(MarkDown{first});
  fleet.commit(MarkDown{second});

  fleet.commit(PrepareRepair{first});
  fleet.commit(PrepareRepair{second});
  CHECK(fleet.metadata.sequences.size() == 2);
  fleet.finish_sequence(first);
  fleet.finish_sequence(second);

  for (auto& partition : fleet.metadata.partitions) {
    CHECK(partition.stores.size() == kReplicationFactor);
    CHECK(most_in_one_zone(fleet.metadata, partition) <= 3);
    CHECK(replicas_on(partition, first) == 0);
    CHECK(replicas_on(partition, second) == 0);
  }
}

TEST_CASE("A store that returns after its partitions were repaired is registered and joins again") {
  StoreFleet fleet(kStores);
  auto store = fleet.id("store11");
  repair_lost_stores(fleet, {store, fleet.id("store12")});
  CHECK(fleet.state(store) == DaemonState::down);

  fleet.commit(MarkUp{store});

  CHECK(fleet.state(store) == DaemonState::registered);
  fleet.run_sequence(PrepareJoin{store}, store);
  CHECK(fleet.metadata.holds_partitions(store));
}

TEST_CASE("A lost store is forgotten once its partitions are repaired") {
  StoreFleet fleet(kStores);
  auto store = fleet.id("store12");
  repair_lost_stores(fleet, {fleet.id("store11"), store});

  fleet.commit(ForgetStore{store});

  CHECK(fleet.state(store) == DaemonState::left);
}

TEST_CASE("A store that is up, or keeps replicas of partitions, is not forgotten") {
  StoreFleet fleet(kStores);
  auto store = fleet.id("store11");

  CHECK(fleet.is_rejected(ForgetStore{store}));
  fleet.commit(MarkDown{store});
  CHECK(fleet.is_rejected(ForgetStore{store}));
  fleet.commit(MarkUp{store});
  CHECK(fleet.state(store) == DaemonState::up);
}

TEST_CASE("A store whose drain was cancelled stays draining, and can be drained again") {
  StoreFleet fleet(kStores);
  auto store = fleet.id("store11");
  fleet.commit(PrepareDrain{store});
  fleet.commit(AdvanceSequence{store, SequenceStep::start});

  fleet.commit(CancelSequence{store, "a store that was to take partitions is lost"});

  CHECK(fleet.state(store) == DaemonState::draining);
  CHECK(fleet.metadata.holds_partitions(store));
  fleet.run_sequence(PrepareDrain{store}, store);
  CHECK(fleet.state(store) == DaemonState::left);
}
