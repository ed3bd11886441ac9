#pragma once
// In-memory table of a store's histories, fences and tombstones.
#include "history/store_journal.hpp"
#include "history/uptime_clock.hpp"

namespace mosskeel {

/// The store's state by partition. Each operation journals the changes that it makes, so that the last checkpoint and
/// the journal after it always reproduce this state. Owned by `StoreMachine` and used on its thread.
class HistoryTable {
 public:
  HistoryTable(StoreJournal& journal, const UptimeClock& clock) : journal_(journal), clock_(clock) {}

  const StoredPartitions& partitions() const { return partitions_; }
  /// This store's replica of the partition, or null.
  const StoredPartition* find(PartitionId id) const;
  /// This store's replica of the history, or null.
  const History* find(PartitionId partition, const HistoryName& name) const;
  /// Whether this store has the summary's version or a higher one, or a tombstone of the history.
  bool is_up_to_date(PartitionId partition, const HistorySummary& summary) const;
  /// The highest ownership term that this store has seen for the partition; 0 if none.
  Epoch fence(PartitionId id) const;
  size_t history_count() const;
  size_t tombstone_count() const;

  /// Raises the fence to `term`. Returns false if the fence is already higher.
  [[nodiscard]] bool raise_fence(PartitionId id, Epoch term);
  /// Applies an owner's write. Precondition: its term is not below the fence.
  AppendHistoryReply append(const AppendHistory& request);
  /// Moves a history to the owner's term if the replica here has the version that the owner has read. Returns the
  /// reply, or nothing if the replica has another version. Precondition: the term is not below the fence.
  std::optional<AppendHistoryReply> adopt(const AdoptHistory& request);
  /// Deletes a history and adds a tombstone for its name.
  void write_tombstone(PartitionId partition, const HistoryName& name);
  /// Merges whatever is newer than this store's state.
  void merge(MergeRecord received);
  /// Drops the partition's histories; its fence and tombstones are kept.
  void drop_histories(PartitionId id);

  /// Recovery: installs the partitions of a checkpoint.
  void restore(StoredPartitions partitions) { partitions_ = std::move(partitions); }
  /// Recovery: reapplies a journal record.
  void replay(const FenceRecord& record);
  void replay(const AppendHistory& request) { apply(request); }
  void replay(MergeRecord record) { merge_newer(std::move(record)); }
  void replay(const TombstoneRecord& record) { delete_history(record.partition, record.history); }
  void replay(const HistoryTermRecord& record);
  void replay(const DropPartitionRecord& record) { partitions_[record.partition].histories.clear(); }

 private:
  /// What a write changed, which determines what is journaled.
  enum class Change { none, term, records };
  struct AppendResult {
    AppendHistoryReply reply{};
    Change change = Change::none;
  };
  AppendResult apply(const AppendHistory& request);
  AppendResult replace_records(StoredPartition& partition, const AppendHistory& request);
  AppendResult append_records(StoredPartition& partition, const AppendHistory& request);
  void journal_append(const AppendHistory& request, Change change, bool raised_fence);
  /// Merges what is newer than this store's state. Returns the part that was merged.
  MergeRecord merge_newer(MergeRecord received);
  void delete_history(PartitionId partition, const HistoryName& name);

  StoreJournal& journal_;
  const UptimeClock& clock_;
  StoredPartitions partitions_;
};

}  // namespace mosskeel
