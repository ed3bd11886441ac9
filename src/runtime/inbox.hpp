#pragma once
// What waits for a machine's thread, with a bound on the bytes of messages.
#include <atomic>
#include <functional>

#include "base/queue.hpp"
#include "runtime/state_machine.hpp"

namespace mosskeel {

class Inbox {
 public:
  using Call = std::function<void(Machine&, Millis)>;
  struct Item {
    std::variant<Envelope, Call> what;
    /// The size of a message as it came.
    size_t bytes = 0;
  };
  /// Messages up to this many bytes are always taken: heartbeats, asks and acknowledgements.
  static constexpr size_t small_message = 1024;

  explicit Inbox(size_t most) : most_(most) {}
  /// A message from another process; false where too much waits: it counts as lost on the way.
  bool hear(Envelope e, size_t bytes) {
    if (bytes > small_message && bytes_ + bytes > most_) {
      ++refused_;
      return false;
    }
    bytes_ += bytes;
    items_.push({std::move(e), bytes});
    return true;
  }
  void post(Envelope e) { items_.push({std::move(e), 0}); }
  void call(Call f) { items_.push({std::move(f), 0}); }
  /// Everything that waits; each item counts until it is said to be `done`.
  std::deque<Item> take(Millis wait) { return items_.take(wait); }
  void done(const Item& x) { bytes_ -= x.bytes; }
  void close() { items_.close(); }
  size_t bytes() const { return bytes_; }
  uint64_t refused() const { return refused_; }

 private:
  size_t most_;
  Queue<Item> items_;
  std::atomic<size_t> bytes_{0};
  std::atomic<uint64_t> refused_{0};
};

}  // namespace mosskeel
