// How many stores hold a partition, which ones, and the quorums that follow from that.
#include <algorithm>

#include "metadata/constants.hpp"
#include "unit/catch.hpp"
#include "unit/metadata/metadata_fixture.hpp"

using namespace mosskeel;
using mosskeel::test::StoreFleet;

namespace {

/// The most replicas of one partition that lie in one zone.
long most_in_one_zone(const Metadata& metadata, const Partition& partition) {
  std::map<std::string, long> replicas_by_zone;
  for (auto id : partition.stores)
    ++replicas_by_zone[metadata.find(id)->self.zone];
  long most = 0;
  for (auto& [zone, replicas] : replicas_by_zone)
    most = std::max(most, replicas);
  return most;
}

long count_of(const Partition& partition, DaemonId store) {
  return std::count(partition.stores.begin(), partition.stores.end(), store);
}

}  // namespace

TEST_CASE("Read and write quorums intersect, and a committed record outlives the tolerated losses") {
  for (uint32_t tolerated = 0; tolerated <= 3; ++tolerated) {
    Metadata metadata{};
    metadata.configured_replication_factor = replication_factor_for(tolerated, 1);
    for (size_t set = metadata.write_quorum(0); set <= metadata.configured_replication_factor + 1; ++set) {
      CHECK(metadata.write_quorum(set) + metadata.read_quorum(set) > set);
      CHECK(metadata.write_quorum(set) > tolerated);
    }
    auto full = metadata.replication_factor();
    CHECK(metadata.write_quorum(full) <= full - tolerated);
    CHECK(metadata.read_quorum(full) <= full - tolerated);
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

TEST_CASE("Each partition has its full number of stores, and no zone holds more than may be lost") {
  StoreFleet fleet(8);

  std::map<DaemonId, int> replicas_by_store;
  for (auto& partition : fleet.metadata.partitions) {
    CHECK(partition.stores.size() == 5);
    CHECK(most_in_one_zone(fleet.metadata, partition) <= 2);
    for (auto id : partition.stores)
      ++replicas_by_store[id];
  }
  for (auto& [id, replicas] : replicas_by_store)
    CHECK(replicas >= static_cast<int>(kPartitionCount) * 5 / 8 / 2);
}

TEST_CASE("The partitions of two lost stores are repaired by sequences beside each other") {
  StoreFleet fleet(8);
  auto first = fleet.id("store11");
  auto second = fleet.id("store12");

  CHECK(fleet.is_rejected(PrepareRepair{first}));
  fleet.commit(MarkDown{first});
  fleet.commit(MarkDown{second});
  fleet.commit(PrepareRepair{first});
  fleet.commit(PrepareRepair{second});
  CHECK(fleet.metadata.sequences.size() == 2);
  fleet.finish_sequence(first);
  fleet.finish_sequence(second);

  for (auto& partition : fleet.metadata.partitions) {
    CHECK(partition.stores.size() == 5);
    CHECK(most_in_one_zone(fleet.metadata, partition) <= 3);
    CHECK(count_of(partition, first) == 0);
    CHECK(count_of(partition, second) == 0);
  }
  CHECK(fleet.state(first) == DaemonState::down);
  fleet.commit(MarkUp{first});
  CHECK(fleet.state(first) == DaemonState::registered);
  fleet.run_sequence(PrepareJoin{first}, first);
  CHECK(fleet.metadata.holds_partitions(first));
  fleet.commit(ForgetStore{second});
  CHECK(fleet.state(second) == DaemonState::left);
}

TEST_CASE("A store that holds partitions is not forgotten, nor one that is up") {
  StoreFleet fleet(8);
  auto store = fleet.id("store11");

  CHECK(fleet.is_rejected(ForgetStore{store}));
  fleet.commit(MarkDown{store});
  CHECK(fleet.is_rejected(ForgetStore{store}));
  fleet.commit(MarkUp{store});
  CHECK(fleet.state(store) == DaemonState::up);
}

TEST_CASE("A store whose drain was cancelled stays draining, and can be drained again") {
  StoreFleet fleet(8);
  auto store = fleet.id("store11");
  fleet.commit(PrepareDrain{store});
  fleet.commit(AdvanceSequence{store, SequenceStep::start});

  fleet.commit(CancelSequence{store, "a store that was to take partitions is lost"});

  CHECK(fleet.state(store) == DaemonState::draining);
  CHECK(fleet.metadata.holds_partitions(store));
  fleet.run_sequence(PrepareDrain{store}, store);
  CHECK(fleet.state(store) == DaemonState::left);
}
