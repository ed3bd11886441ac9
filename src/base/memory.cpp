#include "base/memory.hpp"

#include <malloc.h>
#include <sys/sysinfo.h>

namespace mosskeel {
namespace {

/// Bytes; a fixed threshold: by itself it grows with each freed block, and checkpoints would then stay in the heap.
constexpr int kLargeBlock = 256 << 10;

}  // namespace

Memory process_memory() {
  auto heap = ::mallinfo2();
  size_t used = heap.uordblks + heap.hblkhd;
  struct sysinfo machine {};
  if (::sysinfo(&machine) != 0)
    return {used, 0};
  return {used, static_cast<size_t>(machine.totalram) * machine.mem_unit};
}

void return_large_blocks() {
  ::mallopt(M_MMAP_THRESHOLD, kLargeBlock);
  ::mallopt(M_TRIM_THRESHOLD, kLargeBlock);
}

}  // namespace mosskeel
