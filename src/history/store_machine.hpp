#pragma once
// The state machine of a store, which holds replicas of histories on one machine's disk.
#include "history/adoptions.hpp"
#include "history/history_expiry.hpp"
#include "history/load_shedder.hpp"
#include "history/moved_partitions.hpp"
#include "history/partition_repair.hpp"
#include "history/partition_streams.hpp"
#include "replication/follower.hpp"

namespace mosskeel {

/// The state machine of a storage daemon. It follows the metadata log and serves the owners of the partitions that it
/// holds; in the background it streams new partitions, compares existing ones with other stores, reports expired
/// histories and drops partitions that moved away. Invariant: state that a reply acknowledges is synced before the
/// reply is sent.
class StoreMachine : public StateMachine {
 public:
  /// Restores the state from the recovered data, freeing that data incrementally to limit peak memory.
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
  /// Number of messages rejected or dropped because of the load.
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
  bool accepts_writes(const Envelope& envelope, PartitionId id, Epoch term) const;
  /// Whether the sender owns the partition and knows its current store set, and this store is in the current or the
  /// pending set.
  bool is_from_owner(const Envelope& envelope, PartitionId id) const;
  void run_timers(TimePoint now);
  /// The step's actions, with a checkpoint if one is due.
  Actions finish_step();

  Outbox out_;
  MetadataLog metadata_log_;
  Follower follower_;
  UptimeClock clock_;
  /// Mutable because `checkpoint() const` records the size of each checkpoint here.
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
