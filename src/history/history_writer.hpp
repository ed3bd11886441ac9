#pragma once
// The owner's side of histories: how a partition's single writer reads, replicates and commits them.
#include "history/history_download.hpp"
#include "history/open_history.hpp"
#include "history/ownership_checks.hpp"
#include "replication/metadata_log.hpp"

namespace mosskeel {

/// Writes the histories of the partitions that this gateway owns. Opening a history reads it from a read quorum of its
/// stores under the ownership term, which fences off earlier owners there, takes the replica of the highest (term,
/// length) and writes it back to the stores as a whole. From then on records are appended. A record is committed once
/// a write quorum of the partition's stores has synced it; while the set of stores changes, of both sets.
///
/// All state is in memory and may be lost: a later owner, or this one after a restart, opens the history again.
/// Runs on the thread of the state machine that owns it.
class HistoryWriter {
 public:
  /// `unavailable`: no quorum of stores answered in time. `fenced`: this gateway does not own the partition.
  enum class State { opening, open, fenced, unavailable };

  HistoryWriter(Outbox& out, const MetadataLog& metadata_log)
      : out_(out), metadata_log_(metadata_log), ownership_checks_(out, metadata_log) {}

  /// Begins to open a history where it is not open, and tells how far that is; may be called at any time.
  State open(const HistoryName& name, TimePoint now);
  /// All records of the history, committed or not; none where it is not being opened or open.
  const Records& records(const HistoryName& name) const;
  /// Appends to an open history. The record is committed once `committed_length` reaches the number returned.
  uint64_t append(const HistoryName& name, Record record, TimePoint now);
  /// Bytes of all records of the history.
  size_t bytes(const HistoryName& name) const;
  /// Whether a record, an element of `records(name)`, is committed; until then nobody may be told of it.
  bool is_committed(const HistoryName& name, const Record& record) const;
  /// How many records of the history are committed.
  uint64_t committed_length(const HistoryName& name) const;
  /// The ownership term under which the history was opened, to notice a change of ownership; 0 where it was not.
  Epoch term(const HistoryName& name) const;
  /// Whether the history has ended: it is deleted or about to be, and takes no turns any more.
  bool ended(const HistoryName& name) const;
  /// Whether the stores for which `has` holds are a quorum of the history's stores.
  bool has_quorum(const HistoryName& name, const StorePredicate& has) const;
  /// Whether the stores still take this gateway for the owner of the history, asked after this request came. To be
  /// called, until it is no longer `checking`, before a request is answered by what `records` holds: a newer owner may
  /// know better. The history is in `take_changed` once the check has ended. Committing a record needs no check.
  OwnershipChecks::State check_ownership(const HistoryName& name, const std::string& request, TimePoint now);
  /// Handles the stores' replies and their requests for records; false leaves the message to the caller.
  bool handle(const Envelope& envelope, TimePoint now);
  /// Repeats unanswered requests, and forgets histories that are idle or owned no more.
  void tick(TimePoint now);
  /// The histories whose state or committed length changed, or for which a check ended, since the last call.
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
  /// Takes a granted read: `reply` is a `ReadHistoryReply` or a `LargeHistoryReply`.
  template <class Reply>
  void on_read(const Reply& reply, const Envelope& envelope, TimePoint now);
  /// Begins to read the records of a large history once its highest version is known, or goes on.
  void advance_download(OpenHistory& history, TimePoint now);
  OpenHistories::iterator forget(OpenHistories::iterator history);
  /// The open history that a reply of this term belongs to, or nothing.
  OpenHistory* awaiting(const HistoryName& name, Epoch term);
  /// Sends each store what it lacks.
  void send_due(OpenHistory& history, TimePoint now, OpenHistory::Resend resend);
  /// Goes on where a quorum has answered.
  void advance(OpenHistory& history, TimePoint now);

  Outbox& out_;
  const MetadataLog& metadata_log_;
  OpenHistories histories_;
  /// Large histories that are being read from a store.
  std::map<HistoryName, HistoryDownload> downloads_;
  OwnershipChecks ownership_checks_;
  std::set<HistoryName> changed_;
};

}  // namespace mosskeel
