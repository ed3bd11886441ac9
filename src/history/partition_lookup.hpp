#pragma once
// Small queries on the metadata value that stores and owners of histories share.
#include <algorithm>

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

/// Whether a store is one of a partition's set.
inline bool contains_store(const std::vector<DaemonId>& stores, DaemonId store) {
  return std::find(stores.begin(), stores.end(), store) != stores.end();
}

}  // namespace mosskeel
