#pragma once
// A store's part in ending histories whose retention is over.
#include "history/history_table.hpp"
#include "replication/metadata_log.hpp"

namespace mosskeel {

/// Scans one partition after the other and tells its owner of the histories that have outlived their retention by this
/// store's own uptime. The owner ends a history once a quorum of its stores reports that: no clock decides alone.
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
