#pragma once
// Memory usage of this process relative to what it may use.
#include <cstddef>

namespace mosskeel {

struct MemoryUsage {
  /// Bytes that this process has allocated, and that it may use; `total` is 0 if it is unknown.
  size_t used = 0, total = 0;
  /// Returns whether the process uses more than this share of what it may use.
  bool exceeds(double share) const { return total && static_cast<double>(used) > share * static_cast<double>(total); }
};

/// The process may use the smallest of the machine's memory, its limit of addresses, and `limit_bytes`.
/// @param limit_bytes the limit that the settings give; 0 for none.
MemoryUsage process_memory(size_t limit_bytes);

/// Configures the allocator to return large blocks to the operating system when they are freed.
void return_large_blocks_to_system();

}  // namespace mosskeel
