#pragma once
// Small queries on the metadata value that stores and owners of histories share.
#include "metadata/metadata.hpp"

namespace mosskeel {

/// The partition of this number, or nothing: before the founding there is none, and a message may name any number.
inline const Partition* find_partition(const Metadata& metadata, PartitionId id) {
  return id.value() < metadata.partitions.size() ? &metadata.partitions[id.value()] : nullptr;
}

/// The owner of the partition's programs, or nothing where the directory has none.
inline const Daemon* find_owner(const Metadata& metadata, PartitionId id) {
  auto* partition = find_partition(metadata, id);
  return partition ? metadata.find(partition->owner) : nullptr;
}

}  // namespace mosskeel
