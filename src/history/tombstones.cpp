#include "history/tombstones.hpp"

#include <algorithm>

namespace mosskeel {

bool Tombstones::has(uint64_t x) const {
  return std::binary_search(young.begin(), young.end(), x) || std::binary_search(old.begin(), old.end(), x);
}

void Tombstones::add(uint64_t x, size_t bound) {
  auto i = std::lower_bound(young.begin(), young.end(), x);
  if (i != young.end() && *i == x)
    return;
  young.insert(i, x);
  if (young.size() < bound)
    return;
  old = std::exchange(young, {});
}

std::vector<uint64_t> Tombstones::above(uint64_t after, size_t most) const {
  std::vector<uint64_t> v;
  auto a = std::upper_bound(young.begin(), young.end(), after), b = std::upper_bound(old.begin(), old.end(), after);
  while (v.size() < most && (a != young.end() || b != old.end())) {
    bool first = b == old.end() || (a != young.end() && *a <= *b);
    auto x = first ? *a++ : *b++;
    if (v.empty() || v.back() != x)
      v.push_back(x);
  }
  return v;
}

uint64_t tombstone_of(const HistoryName& n) {
  return digest(n.program, digest(n.cell));
}

}  // namespace mosskeel
