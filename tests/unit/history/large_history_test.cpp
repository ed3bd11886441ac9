// Opening of a history that is too large for one message, with stores that have it and stores that lack it.
#include "history/constants.hpp"
#include "history/history_writer.hpp"
#include "net/wire.hpp"
#include "unit/catch.hpp"
#include "unit/history/store_fixture.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

namespace {

constexpr size_t kTurns = 170;
constexpr size_t kOutputBytes = 31000;
const Epoch kNewTerm{45};
constexpr Duration kConvergenceTime = 20000ms;

/// Gateway 9 owns all partitions under a new term; the histories are on stores 2 to 4.
Metadata owned_cluster() {
  auto metadata = joining_cluster();
  for (auto& partition : metadata.partitions) {
    partition.pending_stores.clear();
    partition.term = kNewTerm;
  }
  return metadata;
}

/// The owner and the stores; messages are delivered immediately.
class OwnerAndStores {
 public:
  OwnerAndStores() {
    Identity identity;
    identity.self = daemon_of(9, kOwner, Role::gateway).self;
    outbox_.emplace(identity);
    metadata_log_.install_snapshot(owned_cluster());
    outbox_->cluster = kCluster;
    outbox_->epoch = kCurrentEpoch;
    writer_.emplace(*outbox_, metadata_log_);
  }

  /// Adds a store with a history of this many turns, written under the first term.
  void add_store(uint64_t number, size_t turns) {
    auto disk = recovered_store(number, owned_cluster(), turns > 0 ? 1 : 0, turns, kOutputBytes);
    stores_["daemon" + std::to_string(number)] =
        std::make_unique<StoreMachine>(identity_of(number), std::move(disk), kStart);
  }
  void lose_store(uint64_t number) { stores_.erase("daemon" + std::to_string(number)); }

  HistoryWriter& writer() { return *writer_; }
  HistoryWriter::State open() {
    auto state = writer_->open(name, now_);
    deliver(outbox_->take());
    return state;
  }
  void append(Record record) {
    writer_->append(name, std::move(record), now_);
    deliver(outbox_->take());
  }
  /// Advances time in ticks and runs all timers.
  void run_for(Duration duration) {
    for (auto end = now_ + duration; now_ < end; now_ += kTickInterval) {
      writer_->tick(now_);
      deliver(outbox_->take());
      for (auto& [address, store] : stores_)
        deliver(store->tick(now_));
    }
  }
  /// A store's replica of the history; empty if it has none.
  History at_store(uint64_t number) const {
    auto& partitions = stores_.at("daemon" + std::to_string(number))->partitions();
    auto partition = partitions.find(test::partition_of(name));
    if (partition == partitions.end() || !partition->second.histories.count(name))
      return {};
    return partition->second.histories.at(name);
  }
  size_t largest_message() const { return largest_message_; }
  /// Total bytes of all messages.
  size_t traffic() const { return traffic_; }

  const HistoryName name = history_name(0);

 private:
  void deliver(const Actions& actions) {
    for (auto* messages : {&actions.now, &actions.synced})
      for (auto& envelope : *messages)
        deliver(envelope);
  }
  void deliver(const Envelope& envelope) {
    auto bytes = encode(envelope).size();
    largest_message_ = std::max(largest_message_, bytes);
    traffic_ += bytes;
    if (envelope.to == outbox_->id().self.address) {
      writer_->handle(envelope, now_);
      return deliver(outbox_->take());
    }
    auto store = stores_.find(envelope.to);
    if (store != stores_.end())
      deliver(store->second->step(envelope, now_));
  }

  std::optional<Outbox> outbox_;
  MetadataLog metadata_log_;
  std::optional<HistoryWriter> writer_;
  std::map<Address, std::unique_ptr<StoreMachine>> stores_;
  TimePoint now_ = kStart;
  size_t largest_message_ = 0;
  size_t traffic_ = 0;
};

}  // namespace

// Guards against a history so large that no new owner can write it back, so that its turns would fail with 503 forever.
TEST_CASE("A new owner opens a history that is too large for a message, and stores that have it get no records") {
  OwnerAndStores cluster;
  for (uint64_t store : {2, 3, 4})
    cluster.add_store(store, kTurns);

  cluster.open();

  REQUIRE(cluster.open() == HistoryWriter::State::open);
  CHECK(cluster.writer().records(cluster.name) == outcomes(kTurns, kOutputBytes));
  CHECK(cluster.writer().committed_length(cluster.name) == kTurns);
  for (uint64_t store : {2, 3, 4})
    CHECK(cluster.at_store(store).term == kNewTerm);
  CHECK(cluster.largest_message() < kRecordsPageBytes + 2 * kOutputBytes);
  CHECK(cluster.traffic() < 2 * kTurns * kOutputBytes);

  cluster.append(outcome("next", 100));

  CHECK(cluster.writer().committed_length(cluster.name) == kTurns + 1);
  CHECK(cluster.at_store(4).records.size() == kTurns + 1);
}

TEST_CASE("A store that lacks a large history, or has an older version, takes it over page by page") {
  OwnerAndStores cluster;
  cluster.add_store(2, kTurns);
  cluster.add_store(3, 0);
  cluster.add_store(4, kTurns - 60);

  cluster.open();
  cluster.run_for(kConvergenceTime);

  REQUIRE(cluster.open() == HistoryWriter::State::open);
  CHECK(cluster.writer().committed_length(cluster.name) == kTurns);
  for (uint64_t store : {2, 3, 4}) {
    CHECK(cluster.at_store(store).term == kNewTerm);
    CHECK(cluster.at_store(store).records == outcomes(kTurns, kOutputBytes));
  }
  CHECK(cluster.largest_message() < kRecordsPageBytes + 2 * kOutputBytes);
}

TEST_CASE("An owner whose source of a large history dies reads it from another store") {
  OwnerAndStores cluster;
  cluster.add_store(2, kTurns);
  cluster.add_store(3, kTurns);
  cluster.add_store(4, kTurns);
  cluster.lose_store(2);

  cluster.open();
  cluster.run_for(kConvergenceTime);

  REQUIRE(cluster.open() == HistoryWriter::State::open);
  CHECK(cluster.writer().records(cluster.name).size() == kTurns);
}

TEST_CASE("A prefix of a large history never stands for it at a store") {
  OwnerAndStores cluster;
  cluster.add_store(2, kTurns);
  cluster.add_store(3, kTurns);
  cluster.add_store(4, 5);
  StoreMachine store(identity_of(4), recovered_store(4, owned_cluster(), 1, 5, kOutputBytes), kStart);
  auto name = cluster.name;
  auto partition = test::partition_of(name);

  store.step(from_owner(AdoptHistory{name, partition, kNewTerm, kFirstTerm, kTurns, kTurns}), kStart + 1ms);
  store.step(from_owner(ReadRecordsReply{name, kNewTerm, kTurns, 0, true, outcomes(20, kOutputBytes)}), kStart + 2ms);

  auto& history = store.partitions().at(partition).histories.at(name);
  CHECK(history.records.size() == 5);
  CHECK(history.term == kFirstTerm);
}
