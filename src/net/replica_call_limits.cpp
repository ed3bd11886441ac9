#include "net/replica_call_limits.hpp"

#include <algorithm>

#include "net/constants.hpp"
#include "net/replica_call_transfer.hpp"

namespace mosskeel {
namespace {

/// The share of the memory is one in this many: a response is copied several times on its way to the stores.
constexpr size_t kMemoryDivisor = 16;
constexpr size_t kMinTotalBytes = 2u << 20;
constexpr size_t kMaxTotalBytes = 64u << 20;
/// Responses may be larger than the requests of callers.
constexpr size_t kMaxResponseBytes = kMaxHttpBodyBytes * 8;
constexpr size_t kMaxBacklogBytes = 2u << 20;

}  // namespace

ReplicaCallLimits ReplicaCallLimits::for_memory(size_t memory_bytes) {
  size_t share = memory_bytes ? memory_bytes / kMemoryDivisor : kMaxTotalBytes;
  auto total = std::clamp(share, kMinTotalBytes, kMaxTotalBytes);
  return {std::min(kMaxResponseBytes, total), total, kMaxBacklogBytes};
}

void HeldTransfers::remove(ReplicaCallTransfer& transfer) {
  bytes_ -= transfer.held_bytes();
  transfers_.erase(&transfer);
}

bool HeldTransfers::count(ReplicaCallTransfer& transfer, size_t bytes) {
  bytes_ += bytes;
  transfer.add_held_bytes(bytes);
  while (bytes_ > max_bytes_) {
    auto* largest = *std::max_element(transfers_.begin(), transfers_.end(), [](const auto* left, const auto* right) {
      return left->held_bytes() < right->held_bytes();
    });
    bytes_ -= largest->held_bytes();
    largest->abandon("too much is held of replicas' answers");
  }
  return !transfer.is_abandoned();
}

}  // namespace mosskeel
