// Read and write quorums of a partition's stores, including while its store set changes.
#include "history/store_quorum.hpp"
#include "unit/catch.hpp"

#include <algorithm>

using namespace mosskeel;

namespace {

/// Stores 11 to 15, each in its own zone; the replication factor is three.
Metadata five_stores() {
  Metadata metadata{};
  metadata.configured_replication_factor = 3;
  for (uint64_t number = 11; number <= 15; ++number) {
    DaemonInfo self{};
    self.incarnation = Incarnation{number};
    self.role = Role::store;
    self.zone = "z" + std::to_string(number);
    metadata.directory[DaemonId{number}] = {DaemonId{number}, self, DaemonState::up, Epoch{1}};
  }
  return metadata;
}

std::vector<DaemonId> stores(std::initializer_list<uint64_t> numbers) {
  std::vector<DaemonId> ids;
  for (auto number : numbers)
    ids.push_back(DaemonId{number});
  return ids;
}

StorePredicate one_of(std::vector<DaemonId> ids) {
  return [ids = std::move(ids)](DaemonId store) {
    return std::find(ids.begin(), ids.end(), store) != ids.end();
  };
}

std::vector<DaemonId> ids_of(const std::vector<const Daemon*>& daemons) {
  std::vector<DaemonId> ids;
  for (auto* daemon : daemons)
    ids.push_back(daemon->id);
  return ids;
}

}  // namespace

TEST_CASE("Two of three stores are a write quorum, and stores outside the set do not count") {
  auto metadata = five_stores();
  Partition partition{};
  partition.stores = stores({11, 12, 13});

  CHECK_FALSE(is_write_quorum(metadata, partition, one_of(stores({11}))));
  CHECK(is_write_quorum(metadata, partition, one_of(stores({11, 13}))));
  CHECK_FALSE(is_write_quorum(metadata, partition, one_of(stores({11, 14, 15}))));
}

TEST_CASE("While the set of stores changes, a write needs a quorum of each set") {
  auto metadata = five_stores();
  Partition partition{};
  partition.stores = stores({11, 12, 13});
  partition.pending_stores = stores({13, 14, 15});

  CHECK_FALSE(is_write_quorum(metadata, partition, one_of(stores({11, 12}))));
  CHECK_FALSE(is_write_quorum(metadata, partition, one_of(stores({14, 15}))));
  CHECK_FALSE(is_write_quorum(metadata, partition, one_of(stores({11, 13}))));
  CHECK(is_write_quorum(metadata, partition, one_of(stores({11, 13, 14}))));
}

TEST_CASE("A read quorum is a quorum of the current set, whichever stores of the pending set have answered") {
  auto metadata = five_stores();
  Partition partition{};
  partition.stores = stores({11, 12, 13});
  partition.pending_stores = stores({13, 14, 15});

  CHECK(is_read_quorum(metadata, partition, one_of(stores({11, 12}))));
  CHECK_FALSE(is_read_quorum(metadata, partition, one_of(stores({13, 14, 15}))));
}

TEST_CASE("A set of stores smaller than a write quorum has no read quorum, even where all of them have answered") {
  auto metadata = five_stores();
  Partition partition{};
  partition.stores = stores({11});

  CHECK_FALSE(is_read_quorum(metadata, partition, one_of(stores({11}))));
}

TEST_CASE("Histories are written to both sets, but not to stores that left or whose zone is evacuated") {
  auto metadata = five_stores();
  Partition partition{};
  partition.stores = stores({11, 12, 13});
  partition.pending_stores = stores({12, 13, 14});
  metadata.directory[DaemonId{12}].state = DaemonState::left;
  metadata.directory[DaemonId{14}].state = DaemonState::down;
  metadata.evacuated.insert("z13");

  CHECK(ids_of(write_targets(metadata, partition)) == stores({11, 14}));
}
