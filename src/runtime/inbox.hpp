#pragma once
// What waits for a state machine's thread, with a bound on the bytes of messages.
#include <algorithm>
#include <atomic>
#include <functional>

#include "base/queue.hpp"
#include "runtime/state_machine.hpp"

namespace mosskeel {

/// Messages and calls in the order in which they came. Any thread may add; the state machine's thread takes.
///
/// No message is refused for its size alone: what could never be taken would be sent again for ever. One that is larger
/// than the whole bound is taken where no other such waits, beside what the bound admits.
class Inbox {
 public:
  using Call = std::function<void(StateMachine&, TimePoint)>;
  struct Item {
    std::variant<Envelope, Call> content;
    /// The size of a message as it came; 0 for what comes from inside the process.
    size_t bytes = 0;
  };
  /// Bytes; messages up to this size are always taken: heartbeats, requests and acknowledgements.
  static constexpr size_t kSmallMessageBytes = 1024;

  explicit Inbox(size_t max_bytes) : max_bytes_(max_bytes) {}

  /// A message from another process; false where too much waits or the inbox is closed: it counts as lost on the way.
  bool hear(Envelope message, size_t bytes) {
    if (!has_room_for(bytes)) {
      ++refused_;
      return false;
    }
    waiting(bytes) += bytes;
    return items_.push({std::move(message), bytes});
  }

  /// A message from inside the process; not bounded. False where the inbox is closed.
  bool post(Envelope message) { return items_.push({std::move(message), 0}); }
  /// Dropped, uncalled, where the inbox is closed.
  void call(Call function) { items_.push({std::move(function), 0}); }

  /// Everything that waits; each item counts against the bound until it is said to be `done`.
  std::deque<Item> take(Duration timeout) { return items_.take(timeout); }
  void done(const Item& item) { waiting(item.bytes) -= item.bytes; }
  /// What is in the inbox can still be taken; nothing more is added.
  void close() { items_.close(); }

  size_t bytes() const { return bytes_ + oversized_bytes_; }
  /// Messages that were not taken since too much waited.
  uint64_t refused() const { return refused_; }

 private:
  bool is_oversized(size_t bytes) const { return bytes > std::max(max_bytes_, kSmallMessageBytes); }
  bool has_room_for(size_t bytes) const {
    if (is_oversized(bytes))
      return oversized_bytes_ == 0;
    return bytes <= kSmallMessageBytes || bytes_ + bytes <= max_bytes_;
  }
  /// The counter of a message of this size.
  std::atomic<size_t>& waiting(size_t bytes) { return is_oversized(bytes) ? oversized_bytes_ : bytes_; }

  const size_t max_bytes_;
  Queue<Item> items_;
  std::atomic<size_t> bytes_{0};
  /// Bytes of the one message that is larger than the bound, 0 where none waits.
  std::atomic<size_t> oversized_bytes_{0};
  std::atomic<uint64_t> refused_{0};
};

}  // namespace mosskeel
