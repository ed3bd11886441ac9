#pragma once
// The histories, fences and tombstones that a store keeps.
#include "history/store_journal.hpp"
#include "history/uptime_clock.hpp"

namespace mosskeel {

/// The store's state by partition. Each change is journaled by the operation that makes it, so that the last
/// checkpoint with the journal behind it always gives this state again. Owned by `StoreMachine`, on its thread.
class HistoryTable {
 public:
  HistoryTable(StoreJournal& journal, const UptimeClock& clock) : journal_(journal), clock_(clock) {}

  const StoredPartitions& partitions() const { return partitions_; }
  /// The partition as it is here, or nothing.
  const StoredPartition* find(PartitionId id) const;
  /// The history as it is here, or nothing.
  const History* find(PartitionId partition, const HistoryName& name) const;
  /// Whether what is here is of this version or a higher one, or has ended for good.
  bool is_up_to_date(PartitionId partition, const HistorySummary& summary) const;
  /// The highest ownership term shown to this partition here; 0 for none.
  Epoch fence(PartitionId id) const;
  size_t history_count() const;
  size_t tombstone_count() const;

  /// Raises the fence to `term`; false where it is higher already.
  [[nodiscard]] bool raise_fence(PartitionId id, Epoch term);
  /// Applies an owner's write. The caller has checked that its term is not below the fence.
  AppendHistoryReply append(const AppendHistory& request);
  /// Takes over, under the owner's term, a history of the version that the owner has read. The reply, or nothing where
  /// another version is here. The caller has checked that the term is not below the fence.
  std::optional<AppendHistoryReply> adopt(const AdoptHistory& request);
  /// Deletes a history and keeps a tombstone of its name.
  void write_tombstone(PartitionId partition, const HistoryName& name);
  /// Takes what is newer than what is here.
  void merge(MergeRecord received);
  /// Forgets the partition's histories; its fence and tombstones stay.
  void drop_histories(PartitionId id);

  /// Recovery: takes the partitions of a checkpoint.
  void restore(StoredPartitions partitions) { partitions_ = std::move(partitions); }
  /// Recovery: applies a record of the journal again.
  void replay(const FenceRecord& record);
  void replay(const AppendHistory& request) { apply(request); }
  void replay(MergeRecord record) { merge_newer(std::move(record)); }
  void replay(const TombstoneRecord& record) { delete_history(record.partition, record.history); }
  void replay(const HistoryTermRecord& record);
  void replay(const DropPartitionRecord& record) { partitions_[record.partition].histories.clear(); }

 private:
  /// What a write changed here, and so what the journal must record.
  enum class Change { none, term, records };
  struct AppendResult {
    AppendHistoryReply reply{};
    Change change = Change::none;
  };
  AppendResult apply(const AppendHistory& request);
  AppendResult replace_records(StoredPartition& partition, const AppendHistory& request);
  AppendResult append_records(StoredPartition& partition, const AppendHistory& request);
  void journal_append(const AppendHistory& request, Change change, bool raised_fence);
  /// Takes what is newer, and returns that part.
  MergeRecord merge_newer(MergeRecord received);
  void delete_history(PartitionId partition, const HistoryName& name);

  StoreJournal& journal_;
  const UptimeClock& clock_;
  StoredPartitions partitions_;
};

}  // namespace mosskeel
