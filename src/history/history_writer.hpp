#pragma once
// The owner's side of history replication: the single writer of a partition's histories.
#include "history/history_download.hpp"
#include "history/open_history.hpp"
#include "history/ownership_checks.hpp"
#include "replication/metadata_log.hpp"

namespace mosskeel {

/// Writes the histories of the partitions that this gateway owns. Opening a history reads it from a read quorum of its
/// stores under the ownership term, which fences off earlier owners there, selects the replica with the highest (term,
/// length) and writes it back to the stores as a whole. After that, records are appended. A record is committed once
/// a write quorum of the partition's stores has synced it; while the store set changes, a write quorum of both sets.
///
/// All state is in memory and may be lost: a later owner, or this one after a restart, reopens the history.
/// Runs on the thread of the state machine that owns it.
class HistoryWriter {
 public:
  /// `unavailable`: no quorum of stores has answered in time. `fenced`: this gateway does not own the partition.
  enum class State { opening, open, fenced, unavailable };

  HistoryWriter(Outbox& out, const MetadataLog& metadata_log)
      : out_(out), metadata_log_(metadata_log), ownership_checks_(out, metadata_log) {}

  /// Starts opening the history if it is not open, and returns the progress. May be called repeatedly.
  State open(const HistoryName& name, TimePoint now);
  /// All records of the history, committed or not; empty if it is neither open nor being opened.
  const Records& records(const HistoryName& name) const;
  /// Appends to an open history. The record is committed once `committed_length` reaches the returned length.
  uint64_t append(const HistoryName& name, Record record, TimePoint now);
  /// Bytes of all records of the history.
  size_t bytes(const HistoryName& name) const;
  /// Whether `record`, an element of `records(name)`, is committed. An uncommitted record must not be exposed.
  bool is_committed(const HistoryName& name, const Record& record) const;
  /// The number of committed records of the history.
  uint64_t committed_length(const HistoryName& name) const;
  /// The ownership term under which the history was opened, for detecting ownership changes; 0 if it is not open.
  Epoch term(const HistoryName& name) const;
  /// Whether the history has ended: it is deleted or about to be deleted, and accepts no further turns.
  bool ended(const HistoryName& name) const;
  /// Whether the stores that satisfy `predicate` form a quorum of the history's stores.
  bool has_quorum(const HistoryName& name, const StorePredicate& predicate) const;
  /// Checks with the stores, after this request's arrival, that this gateway is still the owner of the history. Must be
  /// called until the result is no longer `checking` before a request is answered from `records`: a newer owner may
  /// have written other records. `take_changed` returns the history once the check has ended. Committing a record needs
  /// no check.
  OwnershipChecks::State check_ownership(const HistoryName& name, const std::string& request, TimePoint now);
  /// Handles the stores' replies and their requests for records. Returns false if the message is of another kind.
  bool handle(const Envelope& envelope, TimePoint now);
  /// Retries unanswered requests, and drops histories that are idle or no longer owned.
  void tick(TimePoint now);
  /// The histories whose state or committed length changed, or whose ownership check ended, since the last call.
  std::set<HistoryName> take_changed() { return std::exchange(changed_, {}); }

 private:
  using OpenHistories = std::map<HistoryName, OpenHistory>;

  const OpenHistory* find(const HistoryName& name) const;
  bool owns(PartitionId id) const;
  OpenHistories::iterator begin_opening(const HistoryName& name, PartitionId partition, Epoch term, TimePoint now);
  void handle(const ReadHistoryReply& reply, const Envelope& envelope, TimePoint now);
  void handle(const AppendHistoryReply& reply, const Envelope& envelope, TimePoint now);
  void handle(const LargeHistoryReply& reply, const Envelope& envelope, TimePoint now);
  void handle(const ReadRecordsReply& page, const Envelope& envelope, TimePoint now);
  void handle(const ReadRecords& request, const Envelope& envelope);
  /// Processes a granted read: `reply` is a `ReadHistoryReply` or a `LargeHistoryReply`.
  template <class Reply>
  void on_read(const Reply& reply, const Envelope& envelope, TimePoint now);
  /// Starts or continues the download of a large history once its highest version is known.
  void advance_download(OpenHistory& history, TimePoint now);
  OpenHistories::iterator drop_history(OpenHistories::iterator history);
  /// The history, if it is held under this term; else null.
  OpenHistory* find_in_term(const HistoryName& name, Epoch term);
  /// Sends each store the requests that are due.
  void send_due(OpenHistory& history, TimePoint now, OpenHistory::Resend resend);
  /// Moves on to the next phase or commits records if a quorum has answered.
  void advance(OpenHistory& history, TimePoint now);

  Outbox& out_;
  const MetadataLog& metadata_log_;
  OpenHistories histories_;
  /// Large histories that are being downloaded from a store.
  std::map<HistoryName, HistoryDownload> downloads_;
  OwnershipChecks ownership_checks_;
  std::set<HistoryName> changed_;
};

}  // namespace mosskeel
