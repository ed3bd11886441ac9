#include "history/tombstones.hpp"

#include <algorithm>

namespace mosskeel {

bool Tombstones::has(uint64_t digest) const {
  return std::binary_search(young.begin(), young.end(), digest) || std::binary_search(old.begin(), old.end(), digest);
}

void Tombstones::add(uint64_t digest, size_t generation_size) {
  auto position = std::lower_bound(young.begin(), young.end(), digest);
  if (position != young.end() && *position == digest)
    return;
  young.insert(position, digest);
  if (young.size() >= generation_size)
    old = std::exchange(young, {});
}

/// Merges both generations; a digest may be in both.
std::vector<uint64_t> Tombstones::above(uint64_t after, size_t limit) const {
  std::vector<uint64_t> merged;
  auto from_young = std::upper_bound(young.begin(), young.end(), after);
  auto from_old = std::upper_bound(old.begin(), old.end(), after);
  while (merged.size() < limit && (from_young != young.end() || from_old != old.end())) {
    bool young_is_next = from_old == old.end() || (from_young != young.end() && *from_young <= *from_old);
    auto digest = young_is_next ? *from_young++ : *from_old++;
    if (merged.empty() || merged.back() != digest)
      merged.push_back(digest);
  }
  return merged;
}

uint64_t tombstone_of(const HistoryName& name) {
  return digest(name.program, digest(name.cell));
}

}  // namespace mosskeel
