#pragma once
// Queues of encoded messages to peers, bounded in bytes.
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "mosskeel/common.hpp"

namespace mosskeel {

/// How many bytes of messages a process holds for its peers.
struct SendQueueLimits {
  /// For one peer.
  size_t peer_bytes = 0;
  /// For all peers together.
  size_t total_bytes = 0;

  /// Derives the limits from the bytes of memory that the process may use; 0 if that is unknown.
  static SendQueueLimits for_memory(size_t memory_bytes);
};

/// One FIFO queue a peer. Not thread-safe.
///
/// Invariant: each queue is within `peer_bytes` and all together are within `total_bytes`, or only the newest message
/// is left of those that could be discarded. Room is made by discarding the oldest messages, so that a peer that
/// returns gets the newest ones; if the total is exceeded, those of the peer with the most bytes, so that a peer that
/// is away takes no room from the others.
class SendQueues {
 public:
  explicit SendQueues(SendQueueLimits limits) : limits_(limits) {}

  /// Adds a message at the end of the peer's queue.
  /// @return the number of messages that were discarded, of this peer or of others; the new message never is.
  size_t push(const Address& peer, std::string message);
  /// Removes and returns the oldest message for the peer; no value if there is none.
  std::optional<std::string> pop(const Address& peer);
  bool is_empty(const Address& peer) const { return !queues_.contains(peer); }
  /// Bytes of all queued messages.
  size_t bytes() const { return bytes_; }
  /// Bytes of the messages queued for a peer.
  size_t bytes_for(const Address& peer) const;

 private:
  struct PeerQueue {
    std::deque<std::string> messages;
    size_t bytes = 0;
  };
  /// Only peers with messages have an entry.
  using PeerQueues = std::map<Address, PeerQueue>;

  /// Removes the oldest message of a queue that is not empty, and the queue itself if that was the last one.
  std::string take_oldest(PeerQueues::iterator queue);
  PeerQueues::iterator largest_queue();

  const SendQueueLimits limits_;
  PeerQueues queues_;
  size_t bytes_ = 0;
};

}  // namespace mosskeel
