#pragma once
// Brings a state machine's journal to its disk in order, and keeps it in memory while the disk is full.
#include <deque>

#include "base/log.hpp"
#include "messages/message.hpp"
#include "storage/constants.hpp"
#include "storage/disk.hpp"

namespace mosskeel {

/// What one step of a state machine wants written, and the messages that may leave once it is durable.
struct Batch {
  std::vector<std::string> journal;
  std::optional<std::string> checkpoint;
  std::vector<Envelope> sends;
  /// What it holds in memory, roughly.
  size_t bytes = 0;
};

/// Invariant: records reach the disk in the order in which they came, and no message leaves before the records of its
/// batch and of all earlier ones are durable. On a full disk messages are dropped, as if lost on the way, and their
/// records wait in memory.
///
/// `write` and `wants_checkpoint` are called by the host's disk thread; the counters may be read from any thread.
class JournalWriter {
 public:
  struct Written {
    DiskResult result;
    /// What may leave now; empty on a full disk.
    std::vector<Envelope> sends;
    std::vector<LogEntry> notes;
  };

  /// `max_pending_bytes`: records kept in memory beyond this stop the daemon.
  explicit JournalWriter(Disk& disk, size_t max_pending_bytes = kMaxPendingJournalBytes)
      : disk_(disk), max_pending_bytes_(max_pending_bytes) {}

  /// Writes what is pending, then these batches. The result is `failed` where the disk is broken or too much is
  /// pending.
  Written write(std::deque<Batch> batches);
  /// Whether a new checkpoint is worth a try now, since the disk is full; true at most each
  /// kFullDiskCheckpointInterval.
  bool wants_checkpoint(TimePoint now);
  bool full() const { return full_; }
  /// Bytes of records that wait for space on the disk.
  size_t pending_bytes() const { return pending_bytes_; }
  uint64_t unwritten_checkpoints() const { return unwritten_checkpoints_; }

 private:
  DiskResult flush();
  DiskResult write_checkpoint(const std::string& bytes, Written& written);
  DiskResult write_batch(Batch batch, Written& written);
  void note_full(bool was_full, Written& written) const;

  Disk& disk_;
  const size_t max_pending_bytes_;
  /// The records of each batch that is not durable yet, oldest first.
  std::deque<std::vector<std::string>> pending_;
  std::atomic<size_t> pending_bytes_{0};
  std::atomic<uint64_t> unwritten_checkpoints_{0};
  std::atomic<bool> full_{false};
  /// The last checkpoint could not be written.
  bool checkpoint_is_due_ = false;
  TimePoint next_checkpoint_{};
};

}  // namespace mosskeel
