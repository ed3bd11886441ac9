#pragma once
// Records that a store writes to disk. The order of fields and alternatives is the format: only append to it.
#include "history/stored_partition.hpp"
#include "metadata/transformation.hpp"

namespace mosskeel {

/// The store's complete state, with its uptime as counted by `UptimeClock`.
struct StoreCheckpoint {
  MOSSKEEL_FIELDS(StoreCheckpoint, (Metadata, metadata), (StoredPartitions, partitions), (Duration, uptime));
};

/// The partition's fence was raised to `term`.
struct FenceRecord {
  MOSSKEEL_FIELDS(FenceRecord, (PartitionId, partition), (Epoch, term));
};

/// State received from another store that this one lacked. Histories of the same name are replaced.
struct MergeRecord {
  MOSSKEEL_FIELDS(MergeRecord, (PartitionId, partition), (Epoch, fence), (std::vector<HistoryCopy>, histories),
                  (std::vector<uint64_t>, tombstones));

  bool empty() const { return fence == Epoch{} && histories.empty() && tombstones.empty(); }
};

/// The history was deleted and a tombstone was added for its name.
struct TombstoneRecord {
  MOSSKEEL_FIELDS(TombstoneRecord, (PartitionId, partition), (HistoryName, history));
};

/// The history was moved to a newer term with its records unchanged.
struct HistoryTermRecord {
  MOSSKEEL_FIELDS(HistoryTermRecord, (PartitionId, partition), (HistoryName, history), (Epoch, term));
};

/// The partition's histories were dropped because it moved to other stores; its fence and tombstones are kept.
struct DropPartitionRecord {
  MOSSKEEL_FIELDS(DropPartitionRecord, (PartitionId, partition));
};

/// A journal record. `AppendHistory` is the owner's request as received; `Entry` and `Metadata` are entries and
/// snapshots of the metadata log.
using StoreRecord = std::variant<FenceRecord, AppendHistory, MergeRecord, TombstoneRecord, Entry, Metadata,
                                 HistoryTermRecord, DropPartitionRecord>;

}  // namespace mosskeel
