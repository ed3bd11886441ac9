#pragma once
// A store: the replicas of histories on one machine's disk.
#include "history/adoptions.hpp"
#include "history/history_expiry.hpp"
#include "history/load_shedder.hpp"
#include "history/moved_partitions.hpp"
#include "history/partition_repair.hpp"
#include "history/partition_streams.hpp"
#include "replication/follower.hpp"

namespace mosskeel {

/// The state machine of a storage daemon. It follows the metadata log, serves the owners of the partitions that it
/// keeps, and in the background streams new partitions, compares old ones with other stores, reports expired histories
/// and drops what moved away. Invariant: whatever it answers for is synced before the answer leaves.
class StoreMachine : public StateMachine {
 public:
  /// Takes what was recovered from the disk, and frees it piece by piece as the state grows.
  StoreMachine(const Identity& id, Recovered recovered, TimePoint now);
  Actions step(const Envelope& envelope, TimePoint now) override;
  Actions tick(TimePoint now) override;
  MetadataSnapshot view() const override { return metadata_log_.view(); }
  /// Encodes a `StoreCheckpoint`.
  std::string checkpoint() const override;

  const StoredPartitions& partitions() const { return table_.partitions(); }
  size_t history_count() const { return table_.history_count(); }
  size_t tombstone_count() const { return table_.tombstone_count(); }
  const PartitionRepair& repair() const { return repair_; }
  const PartitionStreams& streams() const { return streams_; }
  void set_load(const StoreLoad& load) { load_shedder_.set_load(load); }
  /// Messages rejected or dropped because of the load.
  uint64_t shed_messages() const { return load_shedder_.shed_messages(); }

 private:
  void restore_checkpoint(std::string checkpoint);
  void replay_journal(std::vector<std::string> journal);
  void replay(const StoreRecord& record);

  void handle(const Envelope& envelope, TimePoint now);
  void handle(const ReadHistory& request, const Envelope& envelope);
  void handle(const AppendHistory& request, const Envelope& envelope);
  void handle(const AdoptHistory& request, const Envelope& envelope, TimePoint now);
  void handle(const WriteTombstone& request, const Envelope& envelope);
  void handle(const ReadRecords& request, const Envelope& envelope);
  void handle(const ReadRecordsReply& page, const Envelope& envelope, TimePoint now);
  void handle(const StreamPartitionReply& page, const Envelope& envelope, TimePoint now);
  void handle(const FindChain& request, const Envelope& envelope);
  /// Whether the sender may write to the partition under this term.
  bool takes_writes(const Envelope& envelope, PartitionId id, Epoch term) const;
  /// Whether the sender owns the partition, knows its present set of stores, and this store is in that set or to come
  /// into it.
  bool is_from_owner(const Envelope& envelope, PartitionId id) const;
  void run_timers(TimePoint now);
  /// The step's actions, with a checkpoint where the journal has grown enough.
  Actions finish_step();

  Outbox out_;
  MetadataLog metadata_log_;
  Follower follower_;
  UptimeClock clock_;
  /// Learns each checkpoint's size, which `checkpoint() const` alone knows.
  mutable StoreJournal journal_;
  HistoryTable table_;
  PartitionRepair repair_;
  PartitionStreams streams_;
  Adoptions adoptions_;
  HistoryExpiry expiry_;
  MovedPartitions moved_partitions_;
  LoadShedder load_shedder_;
};

}  // namespace mosskeel
