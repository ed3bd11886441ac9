#pragma once
// What waits for a state machine's thread, with a bound on the bytes of messages.
#include <atomic>
#include <functional>

#include "base/queue.hpp"
#include "runtime/state_machine.hpp"

namespace mosskeel {

/// Messages and calls in the order in which they came. Any thread may add; the state machine's thread takes.
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
    if (bytes > kSmallMessageBytes && bytes_ + bytes > max_bytes_) {
      ++refused_;
      return false;
    }
    bytes_ += bytes;
    return items_.push({std::move(message), bytes});
  }

  /// A message from inside the process; not bounded. False where the inbox is closed.
  bool post(Envelope message) { return items_.push({std::move(message), 0}); }
  /// Dropped, uncalled, where the inbox is closed.
  void call(Call function) { items_.push({std::move(function), 0}); }

  /// Everything that waits; each item counts against the bound until it is said to be `done`.
  std::deque<Item> take(Duration timeout) { return items_.take(timeout); }
  void done(const Item& item) { bytes_ -= item.bytes; }
  /// What is in the inbox can still be taken; nothing more is added.
  void close() { items_.close(); }

  size_t bytes() const { return bytes_; }
  /// Messages that were not taken since too much waited.
  uint64_t refused() const { return refused_; }

 private:
  const size_t max_bytes_;
  Queue<Item> items_;
  std::atomic<size_t> bytes_{0};
  std::atomic<uint64_t> refused_{0};
};

}  // namespace mosskeel
