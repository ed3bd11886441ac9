#pragma once
// Limits of what is held of replicas' responses to calls over this product's own interface.
#include <cstddef>
#include <set>

namespace mosskeel {

class ReplicaCallTransfer;

/// Bytes that a ReplicaClient holds, or has passed on and not seen handled.
struct ReplicaCallLimits {
  /// Of one response: its body, or the sum of a stream's pieces with what each of them costs in memory.
  size_t response_bytes = 0;
  /// Of all responses in progress.
  size_t total_bytes = 0;
  /// Of messages that wait for the state machine; beyond it, no response is read.
  size_t backlog_bytes = 0;

  /// Derives the limits from the bytes of memory that the process may use; 0 if that is unknown.
  static ReplicaCallLimits for_memory(size_t memory_bytes);
};

/// The transfers in progress and the bytes that they hold together. Used only on the client's thread.
class HeldTransfers {
 public:
  explicit HeldTransfers(size_t max_bytes) : max_bytes_(max_bytes) {}
  void add(ReplicaCallTransfer& transfer) { transfers_.insert(&transfer); }
  void remove(ReplicaCallTransfer& transfer);
  /// Counts bytes that a transfer has received. If all hold too much, the largest ones are abandoned.
  /// @return false if this transfer was abandoned.
  [[nodiscard]] bool count(ReplicaCallTransfer& transfer, size_t bytes);
  size_t bytes() const { return bytes_; }

 private:
  const size_t max_bytes_;
  size_t bytes_ = 0;
  std::set<ReplicaCallTransfer*> transfers_;
};

}  // namespace mosskeel
