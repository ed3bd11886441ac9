#pragma once
// Garbage collection of partitions that moved to other stores.
#include "history/history_table.hpp"
#include "replication/metadata_log.hpp"

namespace mosskeel {

/// Drops the histories of partitions that moved to other stores kMovedPartitionKeepTime ago; their fences and
/// tombstones are kept. If such a partition is assigned to this store again, it is streamed from its current stores.
class MovedPartitions {
 public:
  MovedPartitions(const Outbox& out, const MetadataLog& metadata_log, HistoryTable& table)
      : out_(out), metadata_log_(metadata_log), table_(table) {}

  void tick(TimePoint now);

 private:
  void scan(DaemonId self, TimePoint now);
  /// Whether the partition's move to other stores is complete, so that it is no longer read from this store.
  bool has_moved(PartitionId id, DaemonId self) const;

  const Outbox& out_;
  const MetadataLog& metadata_log_;
  HistoryTable& table_;
  TimePoint next_scan_at_{};
  /// When each moved partition that still has histories here was first seen as moved.
  std::map<PartitionId, TimePoint> moved_since_;
};

}  // namespace mosskeel
