#pragma once
// Brings a machine's journal to its disk in order, and holds it back in memory while the disk is full.
#include <deque>

#include "base/log.hpp"
#include "messages/message.hpp"
#include "storage/constants.hpp"
#include "storage/disk.hpp"

namespace mosskeel {

/// What one step wants written, and the messages that wait for it.
struct Batch {
  std::vector<std::string> journal;
  std::optional<std::string> checkpoint;
  std::vector<Envelope> sends;
  /// What it holds in memory, roughly.
  size_t bytes = 0;
};

class JournalWriter {
 public:
  struct Written {
    DiskResult result;
    /// What may leave now; on a full disk nothing, as if lost on the way.
    std::vector<Envelope> sends;
    std::vector<Note> notes;
  };
  explicit JournalWriter(Disk& disk, size_t most = kMaxPendingJournalBytes) : disk_(disk), most_(most) {}
  /// Writes what is held back, then these. `failed` where the disk is broken or too much is held back.
  Written write(std::deque<Batch> v);
  /// Whether a new checkpoint is worth a try now; asked once, it waits for a while.
  bool wants_checkpoint(Millis now);
  bool full() const { return full_; }
  size_t held() const { return held_bytes_; }
  uint64_t unwritten_checkpoints() const { return unwritten_; }

 private:
  DiskResult flush();
  DiskResult checkpoint(const std::string& bytes, Written& w);
  Disk& disk_;
  size_t most_;
  std::deque<std::vector<std::string>> held_;
  std::atomic<size_t> held_bytes_{0};
  std::atomic<uint64_t> unwritten_{0};
  std::atomic<bool> full_{false};
  bool wants_ = false;
  Millis next_checkpoint_ = 0;
};

}  // namespace mosskeel
