#pragma once
// Tombstones: the names of deleted histories, kept as digests.
#include <cstdint>
#include <vector>

#include "history/constants.hpp"
#include "messages/history_messages.hpp"

namespace mosskeel {

/// Digests of the names of deleted histories, 8 bytes each, in two sorted generations. When the young generation is
/// full it replaces the old one, whose digests are discarded. This bounds the memory and keeps the most recent
/// tombstones. The order of the fields is the format on disk.
struct Tombstones {
  MOSSKEEL_FIELDS(Tombstones, (std::vector<uint64_t>, young), (std::vector<uint64_t>, old));

  bool has(uint64_t digest) const;
  /// `generation_size` is the number of digests at which the young generation is full.
  void add(uint64_t digest, size_t generation_size = kTombstonesPerPartition);
  /// The digests greater than `after`, in ascending order, at most `limit`.
  std::vector<uint64_t> above(uint64_t after, size_t limit) const;
  size_t size() const { return young.size() + old.size(); }
};

/// The digest of a history's name. Two names collide with a probability of about 1 in 10^19.
uint64_t tombstone_of(const HistoryName& name);

}  // namespace mosskeel
