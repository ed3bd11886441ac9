#include "history/partition_repair.hpp"
#include "unit/catch.hpp"

#include "history/constants.hpp"
#include "unit/history/store_fixture.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

namespace {

/// Stores 2 to 4 hold every partition, and nothing moves.
Metadata settled_fleet() {
  auto metadata = joining_fleet();
  for (auto& partition : metadata.partitions)
    partition.pending_stores.clear();
  return metadata;
}

/// Stores 2 to 4, whose messages to each other arrive at once.
class ComparingStores {
 public:
  void add(uint64_t number, Recovered disk) {
    stores_["daemon" + std::to_string(number)] =
        std::make_unique<StoreMachine>(identity_of(number), std::move(disk), kStart);
  }
  StoreMachine& store(uint64_t number) { return *stores_.at("daemon" + std::to_string(number)); }

  /// Lets so many steps of each store's repair happen, once all histories are old enough to be compared.
  void repair(int steps) {
    for (int step = 0; step < steps; ++step) {
      now_ += kRepairInterval;
      for (auto& [address, store] : stores_)
        deliver(store->tick(now_));
    }
  }

 private:
  void deliver(const Actions& actions) {
    for (auto* messages : {&actions.now, &actions.synced})
      for (auto& envelope : *messages)
        if (auto found = stores_.find(envelope.to); found != stores_.end())
          deliver(found->second->step(envelope, now_));
  }

  std::map<Address, std::unique_ptr<StoreMachine>> stores_;
  TimePoint now_ = kStart + kRepairMinimumAge + 1ms;
};

/// Each of the 64 partitions is compared with two stores, and those that differ take some steps more.
constexpr int kStepsOfSomeRounds = 3 * 64 * 2;

}  // namespace

TEST_CASE("A store that lacks histories, or has old ones, fetches them from another store") {
  ComparingStores stores;
  auto complete = recovered_store(2, settled_fleet(), 40, 3, 100);
  auto lacking = recovered_store(3, settled_fleet(), 20, 2, 100);
  stores.add(2, complete);
  stores.add(3, lacking);
  stores.add(4, recovered_store(4, settled_fleet(), 40, 3, 100));
  CHECK(stores.store(3).repair().incomplete_comparisons() == 2 * kPartitionCount);

  stores.repair(kStepsOfSomeRounds);

  CHECK(stores.store(3).repair().incomplete_comparisons() == 0);
  CHECK(stores.store(3).repair().fetched() >= 40);
  REQUIRE(stores.store(3).history_count() == 40);
  for (auto& [id, partition] : stores.store(2).partitions())
    for (auto& [name, history] : partition.histories)
      CHECK(stores.store(3).partitions().at(id).histories.at(name).records == history.records);
  CHECK(stores.store(2).repair().fetched() == 0);
}

TEST_CASE("A history that has ended here is not fetched again") {
  ComparingStores stores;
  for (uint64_t number = 2; number <= 4; ++number)
    stores.add(number, recovered_store(number, settled_fleet(), 1, 1, 100));
  stores.store(3).step(from_owner(tombstone_request(history_name(0), kFirstTerm)), kStart + 1ms);

  stores.repair(kStepsOfSomeRounds);

  CHECK(stores.store(3).history_count() == 0);
  CHECK(stores.store(3).repair().fetched() == 0);
}
