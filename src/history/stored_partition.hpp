#pragma once
// A store's replica of a partition, in memory and in checkpoints. The order of the fields is the format on disk.
#include "history/history_version.hpp"
#include "history/tombstones.hpp"

namespace mosskeel {

/// This store's replica of one program's history. `term` is the ownership term of the last write, `written_at` the
/// store's uptime (see `UptimeClock`) at that write.
struct History {
  MOSSKEEL_FIELDS(History, (Epoch, term), (Records, records), (Duration, written_at));

  HistoryVersion version() const { return {term, records.size()}; }
};
using Histories = std::map<HistoryName, History>;

/// One partition's replica. `fence` is the highest ownership term that this store has seen from any owner: writes under
/// lower terms are rejected. A history is in `histories` or its name in `tombstones`, never both.
struct StoredPartition {
  MOSSKEEL_FIELDS(StoredPartition, (Epoch, fence), (Histories, histories), (Tombstones, tombstones));

  bool has_tombstone(const HistoryName& name) const { return tombstones.has(tombstone_of(name)); }
};
using StoredPartitions = std::map<PartitionId, StoredPartition>;

}  // namespace mosskeel
