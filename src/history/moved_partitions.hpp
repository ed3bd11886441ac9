#pragma once
// How a store frees the memory of partitions that moved to other stores.
#include "history/history_table.hpp"
#include "replication/metadata_log.hpp"

namespace mosskeel {

/// Drops the histories of partitions that other stores have kept for a while. A store that gets such a partition
/// again later streams it anew from those that hold it; only the fence and the tombstones stay.
class MovedPartitions {
 public:
  MovedPartitions(const Outbox& out, const MetadataLog& metadata_log, HistoryTable& table)
      : out_(out), metadata_log_(metadata_log), table_(table) {}

  void tick(TimePoint now);

 private:
  void scan(DaemonId self, TimePoint now);
  /// Whether the partition's move to other stores has ended: nobody reads it here any more.
  bool has_moved(PartitionId id, DaemonId self) const;

  const Outbox& out_;
  const MetadataLog& metadata_log_;
  HistoryTable& table_;
  TimePoint next_scan_at_{};
  /// When each partition with histories here was first seen on other stores.
  std::map<PartitionId, TimePoint> moved_since_;
};

}  // namespace mosskeel
