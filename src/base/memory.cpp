#include "base/memory.hpp"

#include <malloc.h>
#include <sys/resource.h>
#include <sys/sysinfo.h>

#include <algorithm>

namespace mosskeel {
namespace {

/// Fixed mmap and trim threshold. The default threshold grows as mapped blocks are freed, and checkpoints would then
/// stay in the heap.
constexpr int kLargeBlockBytes = 256 << 10;

/// 0 if it is unknown.
size_t machine_memory() {
  struct sysinfo machine {};
  if (::sysinfo(&machine) != 0)
    return 0;
  return static_cast<size_t>(machine.totalram) * machine.mem_unit;
}

/// 0 for none.
size_t address_space_limit() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_AS, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
    return 0;
  return limit.rlim_cur;
}

size_t smallest_known(std::initializer_list<size_t> limits) {
  size_t smallest = 0;
  for (auto limit : limits) {
    if (limit != 0)
      smallest = smallest == 0 ? limit : std::min(smallest, limit);
  }
  return smallest;
}

}  // namespace

MemoryUsage process_memory(size_t limit_bytes) {
  auto heap = ::mallinfo2();
  return {heap.uordblks + heap.hblkhd, smallest_known({machine_memory(), address_space_limit(), limit_bytes})};
}

void return_large_blocks_to_system() {
  ::mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  ::mallopt(M_TRIM_THRESHOLD, kLargeBlockBytes);
}

}  // namespace mosskeel
