#pragma once
// Detection of histories whose retention period has passed.
#include "history/history_table.hpp"
#include "replication/metadata_log.hpp"

namespace mosskeel {

/// Scans the partitions in turn and reports to each owner the histories that have exceeded their retention period, as
/// measured by this store's uptime. The owner ends a history once a quorum of its stores has reported it, so that no
/// single clock decides.
class HistoryExpiry {
 public:
  HistoryExpiry(Outbox& out, const MetadataLog& metadata_log, const HistoryTable& table, const UptimeClock& clock)
      : out_(out), metadata_log_(metadata_log), table_(table), clock_(clock) {}

  void tick(TimePoint now);

 private:
  void scan_next_partition();
  bool has_expired(const History& history) const;

  Outbox& out_;
  const MetadataLog& metadata_log_;
  const HistoryTable& table_;
  const UptimeClock& clock_;
  TimePoint next_scan_at_{};
  PartitionId last_scanned_{};
};

}  // namespace mosskeel
