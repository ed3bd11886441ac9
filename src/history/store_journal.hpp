#pragma once
// The store's journal, and when a checkpoint replaces it.
#include "history/store_records.hpp"
#include "runtime/state_machine.hpp"

namespace mosskeel {

/// Collects the journal records of the current step and tracks the journal's size since the last checkpoint.
class StoreJournal {
 public:
  explicit StoreJournal(Outbox& out) : out_(out) {}

  void append(const StoreRecord& record);
  /// Counts a record that recovery has read, so that the journal does not grow without bound under frequent restarts.
  void count_recovered(size_t record_bytes) { bytes_since_checkpoint_ += record_bytes; }
  /// Sets the size of the last checkpoint that was read or encoded.
  void set_checkpoint_bytes(size_t bytes) { checkpoint_bytes_ = bytes; }
  /// Whether the journal has outgrown the last checkpoint.
  bool checkpoint_due() const;
  void checkpoint_written() { bytes_since_checkpoint_ = 0; }
  /// An upper estimate of the next checkpoint's size in bytes, for reserving its memory in one allocation.
  size_t expected_checkpoint_bytes() const;

 private:
  Outbox& out_;
  size_t bytes_since_checkpoint_ = 0;
  size_t checkpoint_bytes_ = 0;
};

}  // namespace mosskeel
