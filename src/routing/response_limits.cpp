#include "routing/response_limits.hpp"

#include <algorithm>

namespace mosskeel::routing {
namespace {

/// The share of the memory is one in this many: a turn's output is copied up to six times on its way to the stores.
constexpr size_t kMemoryDivisor = 16;
constexpr size_t kMinTotalBytes = 2u << 20;
constexpr size_t kMaxTotalBytes = 64u << 20;
constexpr size_t kMaxTurnOutputBytes = 4u << 20;
/// One turn may take this part of the total.
constexpr size_t kTurnDivisor = 2;

}  // namespace

ResponseLimits ResponseLimits::for_memory(size_t memory_bytes) {
  size_t share = memory_bytes ? memory_bytes / kMemoryDivisor : kMaxTotalBytes;
  auto total = std::clamp(share, kMinTotalBytes, kMaxTotalBytes);
  return {std::min(kMaxTurnOutputBytes, total / kTurnDivisor), total};
}

}  // namespace mosskeel::routing
