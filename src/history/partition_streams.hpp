#pragma once
// Streaming of partitions to a store that is about to join their store sets.
#include "history/history_download.hpp"
#include "history/history_table.hpp"
#include "replication/metadata_log.hpp"

namespace mosskeel {

/// Streams each partition for which this store is pending, page by page, from a read quorum of its current stores. The
/// number of pages in flight is bounded over all partitions, and each source sends one page at a time. Received pages
/// are merged into the table; progress is kept in memory only, so that a restart starts over. A history that is too
/// large for a page is read by a separate `HistoryDownload` and merged once it is complete.
class PartitionStreams {
 public:
  PartitionStreams(Outbox& out, const MetadataLog& metadata_log, HistoryTable& table)
      : out_(out), metadata_log_(metadata_log), table_(table) {}

  /// Starts and stops streams as partitions become pending here or cease to be, and requests the next pages.
  void tick(TimePoint now);
  /// Serves a page to another store.
  void handle(const StreamPartition& request, const Envelope& envelope);
  /// Processes a requested page. Returns whether it completed its partition.
  bool handle(const StreamPartitionReply& page, const Envelope& envelope, TimePoint now);
  /// Processes a page that names a large history.
  void handle(const StreamLargeHistory& page, const Envelope& envelope, TimePoint now);
  /// Processes a page of records of a large history.
  void handle(const ReadRecordsReply& page, const Envelope& envelope, TimePoint now);
  /// The epoch of the latest sequence whose partitions pending here are all complete; 0 while any is incomplete.
  Epoch completed_sequence() const;
  /// The number of pages that were requested and neither answered nor timed out.
  size_t pages_in_flight(TimePoint now) const;

 private:
  /// The read progress of one of the stores that hold a partition.
  struct Source {
    HistoryName last_history{};
    uint64_t last_tombstone = 0;
    TimePoint requested_at{};
    bool awaits_page = false;
    bool complete = false;
    /// Whether a page request is outstanding and has not timed out.
    bool in_flight(TimePoint now) const;
  };
  struct Stream {
    /// The epoch at which the partition's pending stores were set.
    Epoch sequence;
    std::map<DaemonId, Source> sources;
    bool complete = false;
  };
  /// The download of a large history in progress.
  struct Download {
    Epoch sequence;
    DaemonId source;
    HistoryDownload pages;
  };
  void follow_metadata(DaemonId self);
  void advance_download(TimePoint now);
  /// The reply if the next history is too large for a page; else nothing.
  std::optional<StreamLargeHistory> next_large_history(const StreamPartition& request) const;
  void request_pages(TimePoint now);
  void request_pages(PartitionId id, Stream& stream, TimePoint now);
  void request_page(PartitionId id, const Stream& stream, Source& source, const Daemon& daemon, TimePoint now);
  std::vector<PartitionId> round_robin_order() const;
  std::vector<const Daemon*> preferred_sources(const Partition& partition, Stream& stream) const;
  bool is_sending(DaemonId source, TimePoint now) const;
  /// The source that this page was requested from, or null if the page is not expected.
  template <class Page>
  Source* awaited_source(const Page& page, DaemonId sender) {
    auto stream = streams_.find(page.partition);
    if (stream == streams_.end() || stream->second.complete || stream->second.sequence != page.sequence)
      return nullptr;
    auto& sources = stream->second.sources;
    auto source = sources.find(sender);
    if (source == sources.end() || source->second.complete)
      return nullptr;
    bool is_next_page =
        source->second.last_history == page.after && source->second.last_tombstone == page.after_tombstone;
    return is_next_page ? &source->second : nullptr;
  }
  bool has_read_quorum(PartitionId id, const Stream& stream) const;

  Outbox& out_;
  const MetadataLog& metadata_log_;
  HistoryTable& table_;
  std::map<PartitionId, Stream> streams_;
  std::optional<Download> download_;
  /// The partition for which a page was requested most recently.
  PartitionId last_requested_{};
};

}  // namespace mosskeel
