#pragma once
// A log in segments with checkpoints beside it, and a daemon's identity.
#include "kernel/fd.hpp"
#include "kernel/machine.hpp"

namespace mosskeel {

class Disk {
 public:
  /// Opens or founds a data folder. Findings where it is damaged or not ours to write.
  static Result<std::shared_ptr<Disk>> open(const std::string& folder, uint64_t dice);
  const Recovered& recovered() const { return found_; }
  void forget_recovered() { found_.journal.clear(), found_.checkpoint.reset(); }
  /// How many bytes of torn tail were cut at the start.
  size_t cut() const { return cut_; }
  /// Appends and, with the last of a batch, syncs. False when the disk refuses.
  bool append(const std::vector<std::string>& records);
  bool sync();
  /// Writes a checkpoint that stands for all before it, then drops the segments behind.
  bool checkpoint(const std::string& bytes);
  uint64_t syncs() const { return syncs_; }

 private:
  explicit Disk(std::string folder) : folder_(std::move(folder)) {}
  Findings load(uint64_t dice);
  Findings load_segment(uint64_t seq, bool last);
  bool start_segment(uint64_t seq);
  bool sync_folder();
  bool write_whole(const std::string& name, const std::string& bytes);
  std::string path(const char* kind, uint64_t seq) const;
  std::string folder_;
  Recovered found_;
  Fd segment_, lock_;
  uint64_t seq_ = 0, syncs_ = 0;
  size_t size_ = 0, cut_ = 0;
  bool dirty_ = false;
};

}  // namespace mosskeel
