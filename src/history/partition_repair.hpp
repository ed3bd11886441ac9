#pragma once
// Anti-entropy between the stores of a partition.
#include "history/history_download.hpp"
#include "history/history_table.hpp"
#include "replication/metadata_log.hpp"

namespace mosskeel {

/// Compares this store's partitions in the background with the other stores in place, one comparison at a time, and
/// fetches what this store lacks: first a checksum, where it differs the histories' names and versions page by page,
/// then the histories. A history that only a bare quorum holds after a fault comes back to its full number of replicas
/// this way. Results are kept in memory only: after a restart everything is compared anew.
class PartitionRepair {
 public:
  PartitionRepair(Outbox& out, const MetadataLog& metadata_log, HistoryTable& table, const UptimeClock& clock)
      : out_(out), metadata_log_(metadata_log), table_(table), clock_(clock) {}

  /// Handles the messages of comparisons, both ways; false leaves the message to the caller.
  bool handle(const Envelope& envelope, TimePoint now);
  /// Takes records of a large history.
  void handle(const ReadRecordsReply& page, const Envelope& envelope, TimePoint now);
  void tick(TimePoint now);
  /// How many comparisons of a partition with another store have not ended, under the present set of stores, with this
  /// store having all that the other one had.
  uint32_t incomplete_comparisons() const;
  /// Histories fetched since the start.
  uint64_t fetched() const { return fetched_; }

 private:
  /// One partition against one other store.
  struct Comparison {
    PartitionId partition;
    DaemonId peer;
    auto operator<=>(const Comparison&) const = default;
  };
  /// The comparison under way. One request is open at a time.
  struct Job {
    Comparison comparison;
    /// The epoch of the partition's set of stores when the comparison began.
    Epoch stores_epoch;
    /// The last history that the peer has listed.
    HistoryName last_listed{};
    /// Listed histories that are to be fetched, in order of their names.
    std::vector<HistoryName> wanted{};
    /// The checksums differed, so the histories are listed.
    bool listing = false;
    bool more_to_list = true;
    /// The open request was answered.
    bool answered = false;
    TimePoint requested_at{};
    /// The large history that is being read, in the place of an answer to a request for histories.
    std::optional<HistoryDownload> download{};
  };
  std::vector<Comparison> comparisons() const;
  uint64_t checksum(PartitionId id) const;
  bool is_comparable(const History& history) const;
  bool lacks(PartitionId id, const HistorySummary& summary) const;
  void begin_next(TimePoint now);
  void proceed(TimePoint now);
  void finish();
  void abandon();
  /// Whether a reply is the one that the job waits for.
  bool is_awaited(const Envelope& envelope, PartitionId partition) const;
  void handle(const PartitionChecksum& request, const Envelope& envelope);
  void handle(const PartitionChecksumReply& reply, const Envelope& envelope);
  void handle(const ListHistories& request, const Envelope& envelope);
  void handle(const ListHistoriesReply& reply, const Envelope& envelope);
  void handle(const FetchHistories& request, const Envelope& envelope);
  void handle(const FetchHistoriesReply& reply, const Envelope& envelope);
  void handle(const FetchLargeHistory& reply, const Envelope& envelope, TimePoint now);
  void advance_download(TimePoint now);
  /// The wanted histories up to this one were answered for.
  void on_answered(const HistoryName& last_answered);

  Outbox& out_;
  const MetadataLog& metadata_log_;
  HistoryTable& table_;
  const UptimeClock& clock_;
  /// Finished comparisons with the epoch of the set of stores for which they hold.
  std::map<Comparison, Epoch> finished_;
  std::optional<Job> job_;
  Comparison last_begun_{};
  TimePoint next_step_at_{};
  TimePoint last_tick_at_{};
  uint64_t fetched_ = 0;
};

}  // namespace mosskeel
