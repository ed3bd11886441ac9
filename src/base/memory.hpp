#pragma once
// How much memory this process uses of what its machine has.
#include <cstddef>

namespace mosskeel {

struct Memory {
  size_t used = 0, total = 0;
  /// Over this share of the machine's memory.
  bool over(double share) const { return total && static_cast<double>(used) > share * static_cast<double>(total); }
};

/// Bytes allocated now, and the machine's.
Memory process_memory();

/// Sets the allocator to give large blocks back to the system when they are freed.
void return_large_blocks();

}  // namespace mosskeel
