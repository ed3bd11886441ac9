#pragma once
// What outlives a history's text: that it was there and has ended.
#include "history/constants.hpp"
#include "messages/message.hpp"

namespace mosskeel {

/// Digests of the names of ended histories, bounded: the older half goes when the younger is full.
struct Tombstones {
  BOOST_HANA_DEFINE_STRUCT(Tombstones, (std::vector<uint64_t>, young), (std::vector<uint64_t>, old));
  bool has(uint64_t x) const;
  void add(uint64_t x, size_t bound = kTombstonesPerPartition);
  /// Those above `after` in order, at most `most`.
  std::vector<uint64_t> above(uint64_t after, size_t most) const;
  size_t size() const { return young.size() + old.size(); }
};

uint64_t tombstone_of(const HistoryName& n);

}  // namespace mosskeel
