#pragma once
// Metadata lookups shared by the stores and the owners of histories.
#include "metadata/metadata.hpp"

namespace mosskeel {

/// The partition with this id, or null: there are none before the cluster is founded, and a message may contain any id.
inline const Partition* find_partition(const Metadata& metadata, PartitionId id) {
  return id.value() < metadata.partitions.size() ? &metadata.partitions[id.value()] : nullptr;
}

/// The owner of the partition's programs, or null if the directory has none.
inline const Daemon* find_owner(const Metadata& metadata, PartitionId id) {
  auto* partition = find_partition(metadata, id);
  return partition ? metadata.find(partition->owner) : nullptr;
}

}  // namespace mosskeel
