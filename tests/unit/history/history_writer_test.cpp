// Quorum rules of the history writer: which read replies count, and when a record is committed.
#include "history/history_writer.hpp"
#include "unit/catch.hpp"

#include "history/constants.hpp"
#include "unit/routing/turn_owner_fixture.hpp"

using namespace mosskeel;

namespace {

/// Store 14 is pending to replace store 13 in each partition.
Metadata with_pending_stores(Metadata metadata) {
  DaemonId new_store{14};
  metadata.directory[new_store] = {new_store, test::candidate(14, Role::store, "z14"), DaemonState::up, Epoch{2}};
  for (auto& partition : metadata.partitions)
    partition.pending_stores = {DaemonId{11}, DaemonId{12}, new_store};
  metadata.epoch = Epoch{6};
  return metadata;
}

Metadata with_new_stores(Metadata metadata) {
  for (auto& partition : metadata.partitions) {
    partition.stores = std::exchange(partition.pending_stores, {});
    partition.stores_epoch = Epoch{7};
  }
  metadata.epoch = Epoch{7};
  return metadata;
}

}  // namespace

TEST_CASE("A read reply of a store that does not know the present set of stores does not count for that set") {
  test::Owner owner;
  auto& writer = owner.history_writer;
  auto name = turn_history_name("p");
  auto receive_read_reply = [&](uint64_t store, Epoch known_epoch, Records records) {
    ReadHistoryReply reply{name, writer.term(name), true, Epoch{4}, false, std::move(records)};
    auto envelope = test::Owner::from(store, reply);
    envelope.epoch = known_epoch;
    writer.handle(envelope, owner.now);
  };
  auto moving = with_pending_stores(*owner.metadata_log.view());
  owner.metadata_log.install_snapshot(moving);
  REQUIRE(writer.open(name, owner.now) == HistoryWriter::State::opening);
  receive_read_reply(11, Epoch{6}, {});
  receive_read_reply(14, Epoch{6}, {});

  owner.metadata_log.install_snapshot(with_new_stores(moving));
  owner.now += kStoreRetryInterval + 1ms;
  writer.tick(owner.now);

  CHECK(writer.open(name, owner.now) == HistoryWriter::State::opening);

  Record acknowledged{};
  acknowledged.key = "acknowledged";
  receive_read_reply(11, Epoch{7}, {});
  receive_read_reply(14, Epoch{7}, {acknowledged});

  CHECK(writer.records(name).size() == 1);
}

TEST_CASE("A record is committed once a write quorum of stores has synced it, and not before") {
  test::Owner owner;
  auto& writer = owner.history_writer;
  auto name = turn_history_name("p");
  writer.open(name, owner.now);
  owner.complete_writes();
  REQUIRE(writer.open(name, owner.now) == HistoryWriter::State::open);
  auto acknowledge = [&](uint64_t store) {
    owner.receive(store, AppendHistoryReply{name, writer.term(name), true, false, 1});
  };
  Record record{};
  record.key = "turn";

  auto length = writer.append(name, record, owner.now);

  CHECK(length == 1);

  acknowledge(11);

  CHECK(writer.committed_length(name) == 0);
  CHECK_FALSE(writer.is_committed(name, writer.records(name)[0]));

  acknowledge(13);

  CHECK(writer.committed_length(name) == 1);
  CHECK(writer.is_committed(name, writer.records(name)[0]));
}

TEST_CASE("A history that no store answers for becomes unavailable after the quorum time-out") {
  test::Owner owner;
  auto name = turn_history_name("p");

  CHECK(owner.history_writer.open(name, owner.now) == HistoryWriter::State::opening);

  owner.now += kHistoryQuorumTimeout + 1ms;

  CHECK(owner.history_writer.open(name, owner.now) == HistoryWriter::State::unavailable);
}

TEST_CASE("A history of a partition that moved to another owner is fenced") {
  test::Owner owner;
  auto name = turn_history_name("p");
  REQUIRE(owner.history_writer.open(name, owner.now) == HistoryWriter::State::opening);

  auto metadata = *owner.metadata_log.view();
  for (auto& partition : metadata.partitions)
    partition.owner = DaemonId{2};
  metadata.epoch = next(metadata.epoch);
  owner.metadata_log.install_snapshot(metadata);

  CHECK(owner.history_writer.open(name, owner.now) == HistoryWriter::State::fenced);
}
