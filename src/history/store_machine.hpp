#pragma once
// A store: fenced append logs, one a history; it syncs before it answers.
#include "history/partition_repair.hpp"
#include "history/partition_streams.hpp"
#include "replication/follower.hpp"

namespace mosskeel {

struct StoreCheckpoint {
  BOOST_HANA_DEFINE_STRUCT(StoreCheckpoint, (Metadata, metadata), (StoredPartitions, partitions), (Millis, uptime));
};
struct FenceRecord {
  BOOST_HANA_DEFINE_STRUCT(FenceRecord, (PartitionId, partition), (Epoch, term));
};
struct TombstoneRecord {
  BOOST_HANA_DEFINE_STRUCT(TombstoneRecord, (PartitionId, partition), (HistoryName, history));
};
/// The history's records, as they are here, hold under a newer term.
struct HistoryTermRecord {
  BOOST_HANA_DEFINE_STRUCT(HistoryTermRecord, (PartitionId, partition), (HistoryName, history), (Epoch, term));
};
/// The partition's histories were dropped, since its places are elsewhere; its fence and ends stay.
struct DropPartitionRecord {
  BOOST_HANA_DEFINE_STRUCT(DropPartitionRecord, (PartitionId, partition));
};
using StoreRecord = std::variant<FenceRecord, AppendHistory, MergeRecord, TombstoneRecord, Entry, Metadata,
                                 HistoryTermRecord, DropPartitionRecord>;

/// What a store's process says of itself, for the store to refuse work before its limits.
struct StoreLoad {
  bool memory_short = false, disk_behind = false;
};

class StoreMachine : public Machine {
 public:
  /// Takes what was recovered, and frees it piece by piece as the state grows.
  StoreMachine(const Identity& id, Recovered r, Millis now);
  Actions step(const Envelope& e, Millis now) override;
  Actions tick(Millis now) override;
  View view() const override { return metadata_log_.view(); }
  std::string checkpoint() const override;
  const StoredPartitions& partitions() const { return slots_; }
  size_t history_count() const;
  size_t tombstone_count() const;
  const PartitionRepair& repair() const { return rep_; }
  const PartitionStreams& streams() const { return streams_; }
  void set_load(const StoreLoad& l) { load_ = l; }
  /// Writes and reads refused because of the load.
  uint64_t refused() const { return refused_; }

 private:
  /// What a write changed here, and so what the journal must say.
  enum class Change { nothing, term, records };
  struct Written {
    AppendHistoryReply reply;
    Change change = Change::nothing;
  };
  void recover(std::string checkpoint);
  void replay(const StoreRecord& r);
  void handle(const Envelope& e, Millis now);
  /// Refuses or leaves unanswered what the load forbids.
  bool refuse(const Envelope& e);
  bool admits_more(const AppendHistory& w) const;
  bool placed(const Envelope& e, PartitionId s) const;
  bool fence(PartitionId s, Epoch term);
  void on(const Envelope& e, const ReadHistory& r);
  void on(const Envelope& e, const AppendHistory& w);
  void on(const Envelope& e, const StreamPartition& q);
  void on(const Envelope& e, const StreamPartitionReply& r, Millis now);
  void on(const Envelope& e, const WriteTombstone& b);
  void on(const Envelope& e, const FindChain& f);
  Written write(StoredPartition& s, const AppendHistory& w);
  Written adopt(StoredPartition& s, const AppendHistory& w);
  void journal_write(const AppendHistory& w, Change change, bool fenced);
  /// Takes what is newer than what is here; the part that was.
  MergeRecord merge(StoredPartition& s, const MergeRecord& r);
  static void bury(StoredPartition& s, const HistoryName& n);
  /// Tells the owner of histories that have outlived their retention by this store's own clock.
  void expire(Millis now);
  bool aged(const History& l) const;
  /// Drops the histories of partitions whose places went elsewhere some time ago.
  void drop_moved(Millis now);
  bool moved(PartitionId s, DaemonId me) const;
  Millis uptime() const { return before_ + (now_ - born_); }
  void turn(Millis now);
  size_t journal_limit() const;
  void journal(const StoreRecord& r) { out_.write(codec::pack(r)); }
  Actions done();

  Outbox out_;
  MetadataLog metadata_log_;
  Follower follower_;
  StoredPartitions slots_;
  PartitionRepair rep_;
  PartitionStreams streams_;
  StoreLoad load_;
  uint64_t refused_ = 0;
  /// Bytes of the journal since the last checkpoint, and of that checkpoint.
  size_t grown_ = 0;
  mutable size_t checkpoint_size_ = 0;
  Millis born_, now_, before_ = 0, next_expire_ = 0, next_drop_ = 0;
  /// Since when partitions with histories here have had no place here.
  std::map<PartitionId, Millis> moved_since_;
  PartitionId expiring_{};
};

}  // namespace mosskeel
