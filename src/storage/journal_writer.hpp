#pragma once
// Writes a state machine's journal to disk in order, and buffers it in memory while the disk is full.
#include <deque>

#include "base/log.hpp"
#include "messages/message.hpp"
#include "storage/constants.hpp"
#include "storage/disk.hpp"

namespace mosskeel {

/// What one step of a state machine writes, and the messages to send once that is durable.
struct Batch {
  std::vector<std::string> journal;
  std::optional<std::string> checkpoint;
  std::vector<Envelope> sends;
  /// Approximate size in memory.
  size_t bytes = 0;
};

/// Invariant: records are written in the order of their batches, and no message is released before the records of its
/// batch and of all earlier ones are durable. On a full disk messages are dropped, as if lost by the network, and their
/// records wait in memory.
///
/// `write` and `wants_checkpoint` are called by the host's disk thread; the counters may be read from any thread.
class JournalWriter {
 public:
  struct Written {
    DiskResult result;
    /// The messages that may be sent now; empty on a full disk.
    std::vector<Envelope> sends;
    std::vector<LogEntry> notes;
  };

  /// @param max_pending_bytes if more bytes of records than this are pending, `write` fails, which stops the daemon.
  explicit JournalWriter(Disk& disk, size_t max_pending_bytes = kMaxPendingJournalBytes)
      : disk_(disk), max_pending_bytes_(max_pending_bytes) {}

  /// Writes the pending records, then these batches. The result is `failed` if the disk is broken or too many bytes are
  /// pending.
  Written write(std::deque<Batch> batches);
  /// Whether a checkpoint should be attempted now, because the disk is full or the last checkpoint was not written.
  /// True at most once per kFullDiskCheckpointInterval.
  bool wants_checkpoint(TimePoint now);
  bool full() const { return full_; }
  /// Bytes of records that wait for free space on the disk.
  size_t pending_bytes() const { return pending_bytes_; }
  uint64_t unwritten_checkpoints() const { return unwritten_checkpoints_; }

 private:
  DiskResult flush();
  DiskResult write_checkpoint(const std::string& bytes, Written& written);
  DiskResult write_batch(Batch batch, Written& written);
  void log_full_change(bool was_full, Written& written) const;

  Disk& disk_;
  const size_t max_pending_bytes_;
  /// The records of the batches that are not durable yet, oldest first.
  std::deque<std::vector<std::string>> pending_;
  std::atomic<size_t> pending_bytes_{0};
  std::atomic<uint64_t> unwritten_checkpoints_{0};
  std::atomic<bool> full_{false};
  /// The last checkpoint could not be written.
  bool checkpoint_is_due_ = false;
  TimePoint next_checkpoint_{};
};

}  // namespace mosskeel
