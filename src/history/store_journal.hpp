#pragma once
// The store's journal: what is appended to it, and when a checkpoint replaces it.
#include "history/store_records.hpp"
#include "runtime/state_machine.hpp"

namespace mosskeel {

/// Collects the records of the step under way and counts the journal's size since the last checkpoint.
class StoreJournal {
 public:
  explicit StoreJournal(Outbox& out) : out_(out) {}

  void append(const StoreRecord& record);
  /// A record that was read at the start counts as well, so that frequent restarts do not let the journal grow.
  void count_recovered(size_t record_bytes) { bytes_since_checkpoint_ += record_bytes; }
  /// Remembers the size of a checkpoint that was read or encoded.
  void set_checkpoint_bytes(size_t bytes) { checkpoint_bytes_ = bytes; }
  /// Whether the journal has outgrown the last checkpoint.
  bool checkpoint_due() const;
  void checkpoint_written() { bytes_since_checkpoint_ = 0; }
  /// An upper estimate of the next checkpoint's size in bytes, to reserve its memory at once.
  size_t expected_checkpoint_bytes() const;

 private:
  Outbox& out_;
  size_t bytes_since_checkpoint_ = 0;
  size_t checkpoint_bytes_ = 0;
};

}  // namespace mosskeel
