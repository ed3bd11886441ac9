#pragma once
// Queue of messages and calls for a state machine's thread, with a limit on the bytes of messages.
#include <algorithm>
#include <atomic>
#include <functional>

#include "base/queue.hpp"
#include "runtime/state_machine.hpp"

namespace mosskeel {

/// Messages and calls in order of arrival. Any thread may add items; the state machine's thread takes them.
///
/// No message is dropped only because of its size, because the sender would retry it forever. A message larger than the
/// whole limit is accepted if no other such message is queued, in addition to what the limit admits.
class Inbox {
 public:
  using Call = std::function<void(StateMachine&, TimePoint)>;
  struct Item {
    std::variant<Envelope, Call> content;
    /// The size of a message as received or posted; 0 for calls.
    size_t bytes = 0;
  };
  /// Messages up to this size in bytes are always accepted: heartbeats, requests and acknowledgements.
  static constexpr size_t kSmallMessageBytes = 1024;

  explicit Inbox(size_t max_bytes) : max_bytes_(max_bytes) {}

  /// Adds a message from another process. Returns false if the inbox is full or closed; the message then counts as lost
  /// in transit.
  bool receive(Envelope message, size_t bytes) {
    if (!has_room_for(bytes)) {
      ++dropped_;
      return false;
    }
    queued_bytes(bytes) += bytes;
    return items_.push({std::move(message), bytes});
  }

  /// Adds a message from inside the process, without limit. Returns false if the inbox is closed.
  /// @param bytes counted as queued until the message is released.
  bool post(Envelope message, size_t bytes = 0) {
    queued_bytes(bytes) += bytes;
    return items_.push({std::move(message), bytes});
  }
  /// Adds a call. It is dropped without being called if the inbox is closed.
  void call(Call function) { items_.push({std::move(function), 0}); }

  /// Takes all queued items, waiting up to `timeout` for the first. Each item counts against the limit until it is
  /// passed to `release`.
  std::deque<Item> take(Duration timeout) { return items_.take(timeout); }
  void release(const Item& item) { queued_bytes(item.bytes) -= item.bytes; }
  /// Rejects further items. Items already queued can still be taken.
  void close() { items_.close(); }

  size_t bytes() const { return bytes_ + oversized_bytes_; }
  /// Number of messages dropped because the inbox was full.
  uint64_t dropped() const { return dropped_; }

 private:
  bool is_oversized(size_t bytes) const { return bytes > std::max(max_bytes_, kSmallMessageBytes); }
  bool has_room_for(size_t bytes) const {
    if (is_oversized(bytes))
      return oversized_bytes_ == 0;
    return bytes <= kSmallMessageBytes || bytes_ + bytes <= max_bytes_;
  }
  /// Returns the counter to which a message of this size belongs.
  std::atomic<size_t>& queued_bytes(size_t bytes) { return is_oversized(bytes) ? oversized_bytes_ : bytes_; }

  const size_t max_bytes_;
  Queue<Item> items_;
  std::atomic<size_t> bytes_{0};
  /// Bytes of the one queued message that is larger than the limit; 0 if there is none.
  std::atomic<size_t> oversized_bytes_{0};
  std::atomic<uint64_t> dropped_{0};
};

}  // namespace mosskeel
