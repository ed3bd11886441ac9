#include "base/memory.hpp"

#include <malloc.h>
#include <sys/sysinfo.h>

namespace mosskeel {
namespace {

/// Fixed mmap and trim threshold. The default threshold grows as mapped blocks are freed, and checkpoints would then
/// stay in the heap.
constexpr int kLargeBlockBytes = 256 << 10;

}  // namespace

MemoryUsage process_memory() {
  auto heap = ::mallinfo2();
  size_t used = heap.uordblks + heap.hblkhd;
  struct sysinfo machine {};
  if (::sysinfo(&machine) != 0)
    return {used, 0};
  return {used, static_cast<size_t>(machine.totalram) * machine.mem_unit};
}

void return_large_blocks_to_system() {
  ::mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  ::mallopt(M_TRIM_THRESHOLD, kLargeBlockBytes);
}

}  // namespace mosskeel
