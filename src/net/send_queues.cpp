#include "net/send_queues.hpp"

#include <algorithm>

namespace mosskeel {
namespace {

/// The share of a process's memory that queued messages may take is one in this many.
constexpr size_t kMemoryDivisor = 8;
/// One peer may take this part of it.
constexpr size_t kPeerDivisor = 2;
constexpr size_t kMinTotalBytes = 4u << 20;
constexpr size_t kMaxTotalBytes = 64u << 20;

}  // namespace

SendQueueLimits SendQueueLimits::for_memory(size_t memory_bytes) {
  size_t share = memory_bytes ? memory_bytes / kMemoryDivisor : kMaxTotalBytes;
  auto total = std::clamp(share, kMinTotalBytes, kMaxTotalBytes);
  return {total / kPeerDivisor, total};
}

size_t SendQueues::push(const Address& peer, std::string message) {
  auto added = queues_.try_emplace(peer).first;
  auto& queue = added->second;
  queue.bytes += message.size();
  bytes_ += message.size();
  queue.messages.push_back(std::move(message));

  size_t discarded = 0;
  while (queue.bytes > limits_.peer_bytes && queue.messages.size() > 1) {
    take_oldest(added);
    ++discarded;
  }
  while (bytes_ > limits_.total_bytes) {
    auto largest = largest_queue();
    bool is_only_newest = largest == added && queue.messages.size() == 1;
    if (is_only_newest)
      break;
    take_oldest(largest);
    ++discarded;
  }
  return discarded;
}

std::optional<std::string> SendQueues::pop(const Address& peer) {
  auto found = queues_.find(peer);
  if (found == queues_.end())
    return std::nullopt;
  return take_oldest(found);
}

size_t SendQueues::bytes_for(const Address& peer) const {
  auto found = queues_.find(peer);
  return found == queues_.end() ? 0 : found->second.bytes;
}

std::string SendQueues::take_oldest(PeerQueues::iterator queue) {
  auto message = std::move(queue->second.messages.front());
  queue->second.messages.pop_front();
  queue->second.bytes -= message.size();
  bytes_ -= message.size();
  if (queue->second.messages.empty())
    queues_.erase(queue);
  return message;
}

SendQueues::PeerQueues::iterator SendQueues::largest_queue() {
  return std::max_element(queues_.begin(), queues_.end(),
                          [](const auto& left, const auto& right) { return left.second.bytes < right.second.bytes; });
}

}  // namespace mosskeel
