#pragma once
// Fixture: stores with histories recovered from a journal, in a cluster of four stores and one gateway, which owns all
// histories.
#include "history/store_machine.hpp"
#include "messages/constants.hpp"
#include "metadata/constants.hpp"
#include "runtime/constants.hpp"

namespace mosskeel::test {

constexpr TimePoint kStart = kProcessClockStart;
constexpr uint64_t kCluster = 7;
const Incarnation kOwner{100};
const Epoch kCurrentEpoch{50};
/// The epoch at which the pending stores of `joining_cluster` were set.
const Epoch kPendingEpoch{40};
/// The term of the histories in `recovered_store`.
const Epoch kFirstTerm{2};

inline Daemon daemon_of(uint64_t id, Incarnation incarnation, Role role) {
  auto number = std::to_string(incarnation.value());
  DaemonInfo self{incarnation, role, "zone" + number, "daemon" + number, "", "", ""};
  return {DaemonId{id}, self, DaemonState::up, Epoch{1}};
}

/// All partitions are on stores 2 to 4 and move from store 2 to store 1.
inline Metadata joining_cluster() {
  Metadata metadata;
  metadata.epoch = kCurrentEpoch;
  metadata.cluster = kCluster;
  for (uint64_t store = 1; store <= 4; ++store)
    metadata.directory[DaemonId{store}] = daemon_of(store, Incarnation{store}, Role::store);
  metadata.directory[DaemonId{9}] = daemon_of(9, kOwner, Role::gateway);
  std::vector<DaemonId> stores{DaemonId{2}, DaemonId{3}, DaemonId{4}};
  std::vector<DaemonId> pending_stores{DaemonId{1}, DaemonId{3}, DaemonId{4}};
  metadata.partitions.assign(kPartitionCount, {DaemonId{9}, kFirstTerm, stores, pending_stores, kPendingEpoch});
  return metadata;
}

inline Identity identity_of(uint64_t store) {
  Identity identity;
  identity.self = daemon_of(store, Incarnation{store}, Role::store).self;
  return identity;
}

inline Record reservation(const std::string& key, size_t input_bytes) {
  Record record{};
  record.kind = RecordKind::reservation;
  record.key = key;
  record.input = std::string(input_bytes, 'x');
  return record;
}

inline Record outcome(const std::string& key, size_t output_bytes) {
  Record record{};
  record.kind = RecordKind::outcome;
  record.key = key;
  record.output = std::string(output_bytes, 'x');
  return record;
}

inline Record end_of_history() {
  Record record{};
  record.kind = RecordKind::ended;
  return record;
}

inline Records outcomes(size_t count, size_t output_bytes) {
  Records records;
  for (size_t i = 0; i < count; ++i)
    records.push_back(outcome("turn" + std::to_string(i), output_bytes));
  return records;
}

inline HistoryName history_name(size_t number) {
  return {"cell", "program" + std::to_string(number)};
}

inline PartitionId partition_of(const HistoryName& name) {
  return mosskeel::partition_of(name.cell, name.program);
}

inline ReadHistory read_request(const HistoryName& name, Epoch term) {
  return {name, partition_of(name), term};
}

/// A write that replaces the whole history.
inline AppendHistory replacement(const HistoryName& name, Epoch term, Records records) {
  return {name, partition_of(name), term, true, 0, std::move(records)};
}

inline AppendHistory append_of(const HistoryName& name, Epoch term, uint64_t from, Record record) {
  return {name, partition_of(name), term, false, from, {std::move(record)}};
}

inline WriteTombstone tombstone_request(const HistoryName& name, Epoch term) {
  return {name, partition_of(name), term};
}

inline Envelope from_owner(Message body) {
  return {kProtocolRevision, kCluster, kCurrentEpoch, 1, "gateway", kOwner, "store", {}, std::move(body)};
}

/// The recovered data of a store whose histories have `turns` outcomes of `output_bytes` each, all in the journal.
inline Recovered recovered_store(uint64_t store, const Metadata& metadata, size_t histories, size_t turns,
                                 size_t output_bytes) {
  Recovered recovered{Incarnation{store}, {}, {codec::encode(StoreRecord{metadata})}};
  for (size_t i = 0; i < histories; ++i) {
    StoreRecord record = replacement(history_name(i), kFirstTerm, outcomes(turns, output_bytes));
    recovered.journal.push_back(codec::encode(record));
  }
  return recovered;
}

inline void append_journal(Recovered& recovered, const Actions& actions) {
  recovered.journal.insert(recovered.journal.end(), actions.journal.begin(), actions.journal.end());
}

inline size_t journaled_bytes(const Actions& actions) {
  size_t bytes = 0;
  for (auto& record : actions.journal)
    bytes += record.size();
  return bytes;
}

}  // namespace mosskeel::test
