#pragma once
// Memory usage of this process relative to the machine's memory.
#include <cstddef>

namespace mosskeel {

struct MemoryUsage {
  /// Bytes that this process has allocated, and the machine's memory; `total` is 0 if it is unknown.
  size_t used = 0, total = 0;
  /// Returns whether the process uses more than this share of the machine's memory.
  bool exceeds(double share) const { return total && static_cast<double>(used) > share * static_cast<double>(total); }
};

MemoryUsage process_memory();

/// Configures the allocator to return large blocks to the operating system when they are freed.
void return_large_blocks_to_system();

}  // namespace mosskeel
