// Journaling, recovery and garbage collection of a store.
#include "history/store_machine.hpp"
#include "unit/catch.hpp"

#include "history/constants.hpp"
#include "unit/history/store_fixture.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

namespace {

/// Upper bound of the size of a `DropPartitionRecord`, which contains no history.
constexpr size_t kMaxDropRecordBytes = 100;

AppendHistoryReply synced_reply(const Actions& actions) {
  REQUIRE(actions.synced.size() == 1);
  return std::get<AppendHistoryReply>(actions.synced[0].body);
}

}  // namespace

TEST_CASE("A replacement by the records that a store has journals the term alone, and once") {
  auto records = outcomes(10, 10000);
  StoreMachine store(identity_of(2), recovered_store(2, joining_cluster(), 1, 10, 10000), kStart);
  auto request = from_owner(replacement(history_name(0), Epoch{3}, records));

  auto first = store.step(request, kStart + 1ms);
  auto repeated = store.step(request, kStart + 2ms);

  CHECK(synced_reply(first).granted);
  CHECK(journaled_bytes(first) < 200);
  CHECK(journaled_bytes(first) > 0);
  CHECK(repeated.journal.empty());
}

TEST_CASE("A store recovers a replacement of which it journaled only the term") {
  auto disk = recovered_store(2, joining_cluster(), 1, 10, 10000);
  StoreMachine store(identity_of(2), disk, kStart);
  auto name = history_name(0);
  auto records = outcomes(10, 10000);
  append_journal(disk, store.step(from_owner(replacement(name, Epoch{3}, records)), kStart + 1ms));

  StoreMachine restarted(identity_of(2), disk, kStart);

  auto& partition = restarted.partitions().at(partition_of(name));
  CHECK(partition.fence == Epoch{3});
  CHECK(partition.histories.at(name).term == Epoch{3});
  CHECK(partition.histories.at(name).records == records);
}

TEST_CASE("An append that arrives twice is answered twice and journaled once") {
  StoreMachine store(identity_of(2), recovered_store(2, joining_cluster(), 1, 1, 100), kStart);
  auto request = from_owner(append_of(history_name(0), kFirstTerm, 1, outcome("next", 10000)));

  auto first = store.step(request, kStart + 1ms);
  auto repeated = store.step(request, kStart + 2ms);

  CHECK(journaled_bytes(first) > 10000);
  CHECK(synced_reply(repeated).length == 2);
  CHECK(repeated.journal.empty());
}

TEST_CASE("An append after a gap is not applied, and its reply requests the whole history") {
  StoreMachine store(identity_of(2), recovered_store(2, joining_cluster(), 1, 1, 100), kStart);

  auto actions = store.step(from_owner(append_of(history_name(0), kFirstTerm, 2, outcome("late", 10))), kStart + 1ms);

  CHECK(synced_reply(actions).granted);
  CHECK(synced_reply(actions).gap);
  CHECK(actions.journal.empty());
}

TEST_CASE("A read raises the fence, and a write of a lower term is rejected from then on") {
  StoreMachine store(identity_of(2), recovered_store(2, joining_cluster(), 1, 1, 100), kStart);
  auto name = history_name(0);

  auto read = store.step(from_owner(read_request(name, Epoch{3})), kStart + 1ms);
  auto write = store.step(from_owner(append_of(name, kFirstTerm, 1, outcome("late", 10))), kStart + 2ms);

  REQUIRE(read.synced.size() == 1);
  auto& reply = std::get<ReadHistoryReply>(read.synced[0].body);

  CHECK(reply.granted);
  CHECK(reply.history_term == kFirstTerm);
  CHECK(reply.records.size() == 1);
  CHECK(read.journal.size() == 1);

  REQUIRE(write.now.size() == 1);
  CHECK_FALSE(std::get<AppendHistoryReply>(write.now[0].body).granted);
  CHECK(write.journal.empty());
}

TEST_CASE("A tombstone deletes its history for good, also after a restart") {
  auto disk = recovered_store(2, joining_cluster(), 1, 1, 100);
  StoreMachine store(identity_of(2), disk, kStart);
  auto name = history_name(0);

  auto deleted = store.step(from_owner(tombstone_request(name, kFirstTerm)), kStart + 1ms);
  auto recreated = store.step(from_owner(replacement(name, Epoch{3}, outcomes(1, 100))), kStart + 2ms);

  CHECK_FALSE(synced_reply(recreated).granted);

  append_journal(disk, deleted);
  StoreMachine restarted(identity_of(2), disk, kStart);

  CHECK(restarted.history_count() == 0);
  CHECK(restarted.tombstone_count() == 1);
}

TEST_CASE("A store that starts with a large journal writes a checkpoint at once, and one only") {
  auto disk = recovered_store(2, joining_cluster(), 20, 1, kMinCheckpointJournalBytes / 10);
  StoreMachine store(identity_of(2), disk, kStart);

  auto first = store.tick(kStart + kTickInterval);
  auto second = store.tick(kStart + 2 * kTickInterval);

  CHECK(first.checkpoint);
  CHECK_FALSE(second.checkpoint);
}

TEST_CASE("A store recovers from a checkpoint what the checkpoint holds") {
  StoreMachine store(identity_of(2), recovered_store(2, joining_cluster(), 300, 3, 500), kStart);
  auto checkpoint = store.checkpoint();

  StoreMachine restarted(identity_of(2), Recovered{Incarnation{2}, checkpoint, {}}, kStart);

  auto decoded = codec::decode<StoreCheckpoint>(checkpoint);
  REQUIRE(decoded);

  CHECK(codec::encode(restarted.partitions()) == codec::encode(decoded->partitions));
  CHECK(restarted.view()->epoch == kCurrentEpoch);
}

TEST_CASE("A store recovers nothing from a truncated checkpoint") {
  StoreMachine store(identity_of(2), recovered_store(2, joining_cluster(), 300, 3, 500), kStart);
  auto checkpoint = store.checkpoint();
  auto truncated = checkpoint.substr(0, checkpoint.size() - 1);

  StoreMachine restarted(identity_of(2), Recovered{Incarnation{2}, truncated, {}}, kStart);

  CHECK(restarted.history_count() == 0);
}

TEST_CASE("A store drops the histories of partitions that moved to other stores after a delay, also after a restart") {
  auto disk = recovered_store(2, joining_cluster(), 100, 1, 1000);
  StoreMachine store(identity_of(2), disk, kStart);
  auto moved = joining_cluster();
  moved.epoch = next(kCurrentEpoch);
  for (auto& partition : moved.partitions) {
    partition.stores = std::exchange(partition.pending_stores, {});
    partition.term = Epoch{3};
  }

  auto moved_actions = store.step(from_owner(CatchupReply{moved.epoch, moved, {}}), kStart + 1ms);

  CHECK(store.tick(kStart + kTickInterval).journal.empty());
  CHECK(store.tick(kStart + kMovedPartitionKeepTime / 2).journal.empty());
  CHECK(store.history_count() == 100);

  auto dropped = store.tick(kStart + kMovedPartitionKeepTime + kMovedPartitionScanInterval);

  CHECK(store.history_count() == 0);
  CHECK(journaled_bytes(dropped) < kPartitionCount * kMaxDropRecordBytes);

  append_journal(disk, moved_actions);
  append_journal(disk, dropped);

  CHECK(StoreMachine(identity_of(2), disk, kStart).history_count() == 0);
}

TEST_CASE("A store keeps the histories of partitions that are still moving to other stores") {
  StoreMachine store(identity_of(2), recovered_store(2, joining_cluster(), 100, 1, 1000), kStart);

  for (Duration elapsed{}; elapsed < 3 * kMovedPartitionKeepTime; elapsed += kMovedPartitionScanInterval)
    store.tick(kStart + elapsed);

  CHECK(store.history_count() == 100);
}
