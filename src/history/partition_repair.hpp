#pragma once
// Anti-entropy between the stores of a partition.
#include "history/history_download.hpp"
#include "history/history_table.hpp"
#include "replication/metadata_log.hpp"

namespace mosskeel {

/// Compares this store's partitions in the background with their other stores, one comparison at a time, and fetches
/// what this store lacks: first a checksum; if it differs, the histories' names and versions page by page; then the
/// histories. This restores the full number of replicas of a history that only a bare quorum holds after a fault.
/// Results are kept in memory only: after a restart everything is compared again.
class PartitionRepair {
 public:
  PartitionRepair(Outbox& out, const MetadataLog& metadata_log, HistoryTable& table, const UptimeClock& clock)
      : out_(out), metadata_log_(metadata_log), table_(table), clock_(clock) {}

  /// Handles requests and replies of comparisons. Returns false if the message is of another kind.
  bool handle(const Envelope& envelope, TimePoint now);
  /// Processes a page of records of a large history.
  void handle(const ReadRecordsReply& page, const Envelope& envelope, TimePoint now);
  void tick(TimePoint now);
  /// The number of (partition, other store) pairs for which no comparison under the current store set has finished yet
  /// with this store having everything that the other one had.
  uint32_t incomplete_comparisons() const;
  /// Number of histories fetched since the process started.
  uint64_t fetched() const { return fetched_; }

 private:
  /// A partition and the store that it is compared with.
  struct Comparison {
    PartitionId partition;
    DaemonId peer;
    auto operator<=>(const Comparison&) const = default;
  };
  /// The comparison in progress. At most one request is outstanding.
  struct Job {
    Comparison comparison;
    /// The epoch of the partition's store set when the comparison started.
    Epoch stores_epoch;
    /// The last history in the peer's listing so far.
    HistoryName last_listed{};
    /// Listed histories that remain to be fetched, in order of their names.
    std::vector<HistoryName> wanted{};
    /// The checksums differ, so the histories are being listed.
    bool listing = false;
    bool more_to_list = true;
    /// The outstanding request was answered.
    bool answered = false;
    TimePoint requested_at{};
    /// The download of a large history, which replaces the reply to a request for histories.
    std::optional<HistoryDownload> download{};
  };
  std::vector<Comparison> comparisons() const;
  uint64_t checksum(PartitionId id) const;
  bool is_comparable(const History& history) const;
  bool lacks(PartitionId id, const HistorySummary& summary) const;
  void start_next(TimePoint now);
  void proceed(TimePoint now);
  void finish();
  void abandon();
  /// Whether the job is waiting for a reply from this sender about this partition.
  bool is_expected(const Envelope& envelope, PartitionId partition) const;
  void handle(const PartitionChecksum& request, const Envelope& envelope);
  void handle(const PartitionChecksumReply& reply, const Envelope& envelope);
  void handle(const ListHistories& request, const Envelope& envelope);
  void handle(const ListHistoriesReply& reply, const Envelope& envelope);
  void handle(const FetchHistories& request, const Envelope& envelope);
  void handle(const FetchHistoriesReply& reply, const Envelope& envelope);
  void handle(const FetchLargeHistory& reply, const Envelope& envelope, TimePoint now);
  void advance_download(TimePoint now);
  /// Marks the wanted histories up to this one as answered.
  void on_answered(const HistoryName& last_answered);

  Outbox& out_;
  const MetadataLog& metadata_log_;
  HistoryTable& table_;
  const UptimeClock& clock_;
  /// Finished comparisons, each with the epoch of the store set under which it was made.
  std::map<Comparison, Epoch> finished_;
  std::optional<Job> job_;
  Comparison last_started_{};
  TimePoint next_step_at_{};
  TimePoint last_tick_at_{};
  uint64_t fetched_ = 0;
};

}  // namespace mosskeel
