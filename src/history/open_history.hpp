#pragma once
// One history as its owner has it under one ownership term.
#include <map>
#include <optional>

#include "history/history_version.hpp"
#include "history/store_quorum.hpp"
#include "messages/message.hpp"

namespace mosskeel {

/// The records of one history, and what each of its stores has of them. A history is first read from a read quorum,
/// then written back as a whole, and open from then on: records are appended, and committed once a write quorum has
/// synced them. It sends nothing itself, but tells what is to be sent to a store.
///
/// Invariant: the committed length never falls, and a record of an earlier term counts as committed only with the whole
/// history written back under this one. Owned by `HistoryWriter`, on its thread; nothing is on disk.
class OpenHistory {
 public:
  enum class Phase { reading, writing_back, open };
  /// The replica that the history is to be taken from, whose records are not here yet.
  struct LargeReplica {
    DaemonId store;
    HistoryVersion version;
  };
  /// Whether requests that were not answered for a while are sent again.
  enum class Resend { none, overdue };

  OpenHistory(HistoryName name, PartitionId partition, Epoch term, TimePoint now)
      : name_(std::move(name)), partition_(partition), term_(term), opening_since_(now), last_used_at_(now) {}

  const HistoryName& name() const { return name_; }
  PartitionId partition() const { return partition_; }
  Epoch term() const { return term_; }
  Phase phase() const { return phase_; }
  bool is_open() const { return phase_ == Phase::open; }
  TimePoint opening_since() const { return opening_since_; }
  TimePoint last_used_at() const { return last_used_at_; }
  void set_used_at(TimePoint now) { last_used_at_ = now; }
  /// All records, committed or not.
  const Records& records() const { return records_; }
  uint64_t committed_length() const { return committed_length_; }
  /// Whether nothing is under way: it is open and every record is committed.
  bool is_settled() const { return is_open() && committed_length_ >= records_.size(); }
  /// Whether it is deleted or about to be.
  bool has_ended() const;
  /// Whether the stores for which `has` holds are a quorum: a read quorum while it is read, else a write quorum.
  bool is_quorum(const Metadata& metadata, const StorePredicate& has) const;

  /// Bytes of all records.
  size_t bytes() const { return bytes_; }
  void append(Record record);
  /// The next request to a store, or nothing where none is to be sent now. The caller sends it.
  std::optional<Message> next_request(const Partition& partition, const Daemon& store, TimePoint now, Resend resend);

  /// A store has granted the read. `epoch` is the one that it knew.
  void on_read(DaemonId store, const ReadHistoryReply& reply, Epoch epoch);
  /// A store has granted the read of a history that is too large for a message.
  void on_read(DaemonId store, const LargeHistoryReply& reply, Epoch epoch);
  /// The replica to download once a read quorum has answered, nothing where the records are here.
  const std::optional<LargeReplica>& awaited_replica() const { return awaited_replica_; }
  /// The records of the awaited replica.
  void on_downloaded(Records records);
  /// A store has synced the history up to this length.
  void on_synced(DaemonId store, uint64_t length);
  /// A store lacks the records before those that it was sent: it needs the whole history, at once.
  void on_gap(DaemonId store);

  /// Whether a read quorum has answered, so that the highest version is known.
  bool is_read(const Metadata& metadata) const;
  /// Ends the reading once a read quorum has answered and the records are here, and tells whether it did.
  bool finish_reading(const Metadata& metadata);
  /// Commits what a write quorum has synced, and opens the history once all that was read is committed. Tells whether
  /// either happened.
  bool advance_commit(const Metadata& metadata);

 private:
  /// What one store has of the history.
  struct StoreProgress {
    /// The incarnation of the store that this holds for.
    Incarnation incarnation{};
    /// Records that it has synced, and records that it was sent.
    uint64_t synced_length = 0;
    uint64_t sent_length = 0;
    bool has_answered_read = false;
    /// The latest epoch that the store knew when it answered a read.
    Epoch read_epoch{};
    /// It has taken the whole history under this term, so that records can be appended.
    bool has_history = false;
    /// The zero point: nothing was sent, so that the next request is due at once.
    TimePoint last_sent_at{};
  };
  using ProgressPredicate = std::function<bool(const StoreProgress&)>;

  StoreProgress& progress_of(const Daemon& store);
  std::optional<Message> make_request(const Partition& partition, StoreProgress& progress, TimePoint now,
                                      Resend resend) const;
  std::optional<Message> append_request(StoreProgress& progress) const;
  /// The largest length, not below the committed one, that a write quorum has synced.
  uint64_t synced_by_quorum(const Metadata& metadata) const;
  const Partition& partition_in(const Metadata& metadata) const { return metadata.partitions[partition_.value()]; }
  static bool has_read(const Partition& partition, const StoreProgress& progress);
  /// The same predicate over the stores whose progress this history has tracked.
  StorePredicate by_progress(ProgressPredicate holds) const;

  HistoryName name_;
  PartitionId partition_{};
  Epoch term_{};
  Phase phase_ = Phase::reading;
  bool has_tombstone_ = false;
  void on_answered_read(DaemonId store, Epoch epoch);
  std::optional<Message> replace_request(StoreProgress& progress) const;

  /// The highest version that a store has told of.
  HistoryVersion replica_;
  std::optional<LargeReplica> awaited_replica_;
  Records records_;
  /// Bytes of `records_`.
  size_t bytes_ = 0;
  std::map<DaemonId, StoreProgress> stores_;
  uint64_t committed_length_ = 0;
  TimePoint opening_since_{};
  TimePoint last_used_at_{};
};

}  // namespace mosskeel
