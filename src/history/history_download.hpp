#pragma once
// Download of one large history from another daemon.
#include "history/history_version.hpp"
#include "runtime/state_machine.hpp"

namespace mosskeel {

/// Downloads one version of a history, one page at a time, and buffers the records until all have arrived: a prefix
/// must never be used as the history. Used on the thread of the state machine that owns it; nothing is on disk.
class HistoryDownload {
 public:
  /// `failed`: the source no longer has this version, or has stopped answering.
  enum class State { reading, complete, failed };

  /// Requests the first page immediately.
  HistoryDownload(Outbox& out, HistoryName history, PartitionId partition, HistoryVersion version,
                  const Address& source, Incarnation source_incarnation, TimePoint now);

  const HistoryName& history() const { return history_; }
  PartitionId partition() const { return partition_; }
  HistoryVersion version() const { return version_; }
  State state() const { return state_; }
  /// When the last page arrived or, before any page, when the download started.
  TimePoint last_progress_at() const { return last_progress_at_; }

  /// Processes a page and requests the next one. Returns false if this is not the reply that the download expects.
  bool handle(Outbox& out, const ReadRecordsReply& reply, const Envelope& envelope, TimePoint now);
  /// Retries an unanswered page request; fails after kRecordsSilenceTimeout without progress.
  void tick(Outbox& out, TimePoint now);
  /// Moves all records out. Only valid once the download is complete.
  Records take_records() { return std::move(records_); }

 private:
  void request_page(Outbox& out, TimePoint now);

  HistoryName history_;
  PartitionId partition_{};
  HistoryVersion version_;
  Address source_;
  Incarnation source_incarnation_{};
  State state_ = State::reading;
  Records records_;
  TimePoint requested_at_{};
  TimePoint last_progress_at_{};
};

}  // namespace mosskeel
