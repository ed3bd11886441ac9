#pragma once
// What a store writes to its disk. Append only: the order of fields and of the alternatives is the format.
#include "history/stored_partition.hpp"
#include "metadata/transformation.hpp"

namespace mosskeel {

/// The store's whole state, with its uptime as `UptimeClock` counts it.
struct StoreCheckpoint {
  MOSSKEEL_FIELDS(StoreCheckpoint, (Metadata, metadata), (StoredPartitions, partitions), (Duration, uptime));
};

/// The partition's fence rose to `term`.
struct FenceRecord {
  MOSSKEEL_FIELDS(FenceRecord, (PartitionId, partition), (Epoch, term));
};

/// What another store sent and this one did not have; histories of the same name are replaced.
struct MergeRecord {
  MOSSKEEL_FIELDS(MergeRecord, (PartitionId, partition), (Epoch, fence), (std::vector<HistoryCopy>, histories),
                  (std::vector<uint64_t>, tombstones));

  bool empty() const { return fence == Epoch{} && histories.empty() && tombstones.empty(); }
};

/// The history was deleted and its name became a tombstone.
struct TombstoneRecord {
  MOSSKEEL_FIELDS(TombstoneRecord, (PartitionId, partition), (HistoryName, history));
};

/// The history's records, as they are here, hold under a newer term.
struct HistoryTermRecord {
  MOSSKEEL_FIELDS(HistoryTermRecord, (PartitionId, partition), (HistoryName, history), (Epoch, term));
};

/// The partition's histories were dropped because other stores keep it; its fence and tombstones stay.
struct DropPartitionRecord {
  MOSSKEEL_FIELDS(DropPartitionRecord, (PartitionId, partition));
};

/// A record of the journal. `AppendHistory` is the owner's request itself, `Entry` and `Metadata` what the store
/// learned of the metadata log.
using StoreRecord = std::variant<FenceRecord, AppendHistory, MergeRecord, TombstoneRecord, Entry, Metadata,
                                 HistoryTermRecord, DropPartitionRecord>;

}  // namespace mosskeel
