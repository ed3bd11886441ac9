#pragma once
// The owner's state of one history under one ownership term.
#include <map>
#include <optional>

#include "history/history_version.hpp"
#include "history/store_quorum.hpp"
#include "messages/message.hpp"

namespace mosskeel {

/// The records of one history and the replication progress of each of its stores. A history is first read from a read
/// quorum, then written back as a whole, and open from then on: records are appended, and committed once a write quorum
/// has synced them. This class sends no messages itself; it returns the requests to send.
///
/// Invariant: the committed length never decreases, and a record of an earlier term counts as committed only once the
/// whole history is written back under this term. Owned by `HistoryWriter` and used on its thread; nothing is on disk.
class OpenHistory {
 public:
  enum class Phase { reading, writing_back, open };
  /// The replica with the highest version, if it is large: its records must be downloaded from this store.
  struct LargeReplica {
    DaemonId store;
    HistoryVersion version;
  };
  /// Whether requests that have been unanswered for kStoreRetryInterval are sent again.
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
  /// Whether the history is open and every record is committed.
  bool is_settled() const { return is_open() && committed_length_ >= records_.size(); }
  /// Whether the history is deleted or about to be deleted.
  bool has_ended() const;
  /// Whether the stores that satisfy `predicate` form a quorum: a read quorum in the reading phase, else a write
  /// quorum.
  bool is_quorum(const Metadata& metadata, const StorePredicate& predicate) const;

  /// Bytes of all records.
  size_t bytes() const { return bytes_; }
  void append(Record record);
  /// The next request that the caller must send to a store, or nothing if none is due.
  std::optional<Message> next_request(const Partition& partition, const Daemon& store, TimePoint now, Resend resend);

  /// Processes a granted read. `epoch` is the metadata epoch that the store knew.
  void on_read(DaemonId store, const ReadHistoryReply& reply, Epoch epoch);
  /// Processes a granted read of a history that is too large for one message.
  void on_read(DaemonId store, const LargeHistoryReply& reply, Epoch epoch);
  /// The replica to download once a read quorum has answered; nothing if its records are already here.
  const std::optional<LargeReplica>& awaited_replica() const { return awaited_replica_; }
  /// Installs the records of the awaited replica.
  void on_downloaded(Records records);
  /// Processes a store's acknowledgement that it has synced the history up to this length.
  void on_synced(DaemonId store, uint64_t length);
  /// A store lacks records before those that it was sent: makes sending it the whole history due immediately.
  void on_gap(DaemonId store);

  /// Whether a read quorum has answered, so that the highest version is known.
  bool is_read(const Metadata& metadata) const;
  /// Ends the reading phase if a read quorum has answered and the records are here. Returns whether it ended.
  bool finish_reading(const Metadata& metadata);
  /// Commits what a write quorum has synced, and opens the history once everything that was read is committed. Returns
  /// whether either happened.
  bool advance_commit(const Metadata& metadata);

 private:
  /// The replication progress of one store.
  struct StoreProgress {
    /// The store's incarnation; progress is reset when it changes.
    Incarnation incarnation{};
    /// The number of records that the store has synced, and that it was sent.
    uint64_t synced_length = 0;
    uint64_t sent_length = 0;
    bool has_answered_read = false;
    /// The latest metadata epoch that the store knew when it answered a read.
    Epoch read_epoch{};
    /// The store has the whole history under this term, so that records can be appended.
    bool has_history = false;
    /// Zero if nothing was sent, which makes the next request due immediately.
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
  /// Converts a predicate on the progress of a store to a predicate on the store's id.
  StorePredicate stores_whose_progress(ProgressPredicate predicate) const;

  HistoryName name_;
  PartitionId partition_{};
  Epoch term_{};
  Phase phase_ = Phase::reading;
  bool has_tombstone_ = false;
  void record_read_reply(DaemonId store, Epoch epoch);
  std::optional<Message> replace_request(StoreProgress& progress) const;

  /// The highest version that any store has reported.
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
