// Anti-entropy: stores compare their replicas of histories and fetch what they lack.
#include "history/partition_repair.hpp"
#include "unit/catch.hpp"

#include "history/constants.hpp"
#include "net/wire.hpp"
#include "unit/history/store_fixture.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

namespace {

/// All partitions are on stores 2 to 4, and none is moving.
Metadata settled_cluster() {
  auto metadata = joining_cluster();
  for (auto& partition : metadata.partitions)
    partition.pending_stores.clear();
  return metadata;
}

/// Stores 2 to 4; messages between them are delivered immediately.
class ComparingStores {
 public:
  void add(uint64_t number, Recovered disk) {
    stores_["daemon" + std::to_string(number)] =
        std::make_unique<StoreMachine>(identity_of(number), std::move(disk), kStart);
  }
  /// Bytes of the largest message that any store has sent.
  size_t largest_message() const { return largest_message_; }
  StoreMachine& store(uint64_t number) { return *stores_.at("daemon" + std::to_string(number)); }

  /// Runs each store's comparisons of all its partitions; the histories are old enough to be compared.
  void repair() {
    for (uint32_t step = 0; step < kRepairSteps; ++step) {
      now_ += kRepairInterval;
      for (auto& [address, store] : stores_)
        deliver(store->tick(now_));
    }
  }

 private:
  /// Enough steps to compare each partition with two stores three times: a comparison that finds a difference takes
  /// more than one step.
  static constexpr uint32_t kRepairSteps = 3 * kPartitionCount * 2;

  void deliver(const Actions& actions) {
    for (auto* messages : {&actions.now, &actions.synced}) {
      for (auto& envelope : *messages) {
        largest_message_ = std::max(largest_message_, encode(envelope).size());
        auto receiver = stores_.find(envelope.to);
        if (receiver != stores_.end())
          deliver(receiver->second->step(envelope, now_));
      }
    }
  }

  std::map<Address, std::unique_ptr<StoreMachine>> stores_;
  TimePoint now_ = kStart + kRepairMinimumAge + 1ms;
  size_t largest_message_ = 0;
};

}  // namespace

TEST_CASE("A store that lacks histories, or has outdated ones, fetches them from another store") {
  constexpr size_t kHistories = 40;
  ComparingStores stores;
  stores.add(2, recovered_store(2, settled_cluster(), kHistories, 3, 100));
  stores.add(3, recovered_store(3, settled_cluster(), kHistories / 2, 2, 100));
  stores.add(4, recovered_store(4, settled_cluster(), kHistories, 3, 100));

  CHECK(stores.store(3).repair().incomplete_comparisons() == 2 * kPartitionCount);

  stores.repair();

  CHECK(stores.store(3).repair().incomplete_comparisons() == 0);
  CHECK(stores.store(3).repair().fetched() >= kHistories);

  REQUIRE(stores.store(3).history_count() == kHistories);
  for (auto& [id, partition] : stores.store(2).partitions())
    for (auto& [name, history] : partition.histories)
      CHECK(stores.store(3).partitions().at(id).histories.at(name).records == history.records);
  CHECK(stores.store(2).repair().fetched() == 0);
}

TEST_CASE("A history that a store has deleted is not fetched again") {
  ComparingStores stores;
  for (uint64_t number = 2; number <= 4; ++number)
    stores.add(number, recovered_store(number, settled_cluster(), 1, 1, 100));
  stores.store(3).step(from_owner(tombstone_request(history_name(0), kFirstTerm)), kStart + 1ms);

  stores.repair();

  CHECK(stores.store(3).history_count() == 0);
  CHECK(stores.store(3).repair().fetched() == 0);
}

// Guards against a history too large for any message, which would stay on a bare majority of its stores.
TEST_CASE("A store that lacks a history which is too large for a message fetches it page by page") {
  constexpr size_t kTurns = 170;
  constexpr size_t kOutputBytes = 31000;
  ComparingStores stores;
  stores.add(2, recovered_store(2, settled_cluster(), 2, kTurns, kOutputBytes));
  stores.add(3, recovered_store(3, settled_cluster(), 0, 0, 0));
  stores.add(4, recovered_store(4, settled_cluster(), 2, kTurns, kOutputBytes));

  stores.repair();

  CHECK(stores.store(3).repair().incomplete_comparisons() == 0);
  REQUIRE(stores.store(3).history_count() == 2);
  auto name = history_name(0);
  CHECK(stores.store(3).partitions().at(partition_of(name)).histories.at(name).records ==
        outcomes(kTurns, kOutputBytes));
  CHECK(stores.largest_message() < kRecordsPageBytes + 2 * kOutputBytes);
}
