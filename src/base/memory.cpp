#include "base/memory.hpp"

#include <malloc.h>
#include <sys/sysinfo.h>

namespace mosskeel {
namespace {

/// A fixed threshold: by itself it grows with each freed block, and checkpoints would then stay in the heap.
constexpr int large_block = 256 << 10;

}  // namespace

Memory process_memory() {
  auto heap = ::mallinfo2();
  struct sysinfo machine {};
  if (::sysinfo(&machine) != 0)
    return {heap.uordblks + heap.hblkhd, 0};
  return {heap.uordblks + heap.hblkhd, static_cast<size_t>(machine.totalram) * machine.mem_unit};
}

void return_large_blocks() {
  ::mallopt(M_MMAP_THRESHOLD, large_block);
  ::mallopt(M_TRIM_THRESHOLD, large_block);
}

}  // namespace mosskeel
