#pragma once
// How a daemon reads one large history from another one.
#include "history/history_version.hpp"
#include "runtime/state_machine.hpp"

namespace mosskeel {

/// Reads one version of one history page by page, one page at a time, and keeps what has come until it is whole: a
/// prefix must never stand for the history. Used on the thread of the state machine that owns it; nothing is on disk.
class HistoryDownload {
 public:
  /// `failed`: the source has the version no longer, or is silent.
  enum class State { reading, complete, failed };

  /// Asks for the first page at once.
  HistoryDownload(Outbox& out, HistoryName history, PartitionId partition, HistoryVersion version,
                  const Address& source, Incarnation source_incarnation, TimePoint now);

  const HistoryName& history() const { return history_; }
  PartitionId partition() const { return partition_; }
  HistoryVersion version() const { return version_; }
  State state() const { return state_; }
  /// When the last page came, or the download began.
  TimePoint last_progress_at() const { return last_progress_at_; }

  /// Takes a page and asks for the next one. False where the reply is not the one that is awaited.
  bool handle(Outbox& out, const ReadRecordsReply& reply, const Envelope& envelope, TimePoint now);
  /// Asks again for a page that has not come, and gives up after a while.
  void tick(Outbox& out, TimePoint now);
  /// All records, once the download is complete.
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
