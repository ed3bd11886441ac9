#pragma once
// A log in segments with checkpoints beside it, and a daemon's identity.
#include <atomic>

#include "base/fd.hpp"
#include "storage/recovered.hpp"

namespace mosskeel {

/// What became of a write: on `full` the disk holds what it held before, and the same may be tried again.
struct DiskResult {
  enum Kind { done, full, failed } kind = done;
  explicit operator bool() const { return kind == done; }
  bool operator==(const DiskResult&) const = default;
};

/// Every call that changes what is on disk, so that tests can refuse it or play a crash after it.
struct DiskCalls {
  std::function<int(const char*, int)> open;
  std::function<ssize_t(int, const void*, size_t)> write;
  std::function<int(int)> sync;
  std::function<int(int, off_t)> truncate;
  /// Takes room for a file; an error number or 0.
  std::function<int(int, size_t)> allocate;
  /// Bytes free in a folder.
  std::function<uint64_t(const std::string&)> room;
  std::function<int(const char*, const char*)> rename;
  std::function<int(const char*)> remove;
  /// Makes the names in a folder durable.
  std::function<int(const char*)> sync_folder;
  static DiskCalls real();
};

class Disk {
 public:
  /// Opens or founds a data folder. Errors where it is damaged or not ours to write.
  static Result<std::shared_ptr<Disk>> open(const std::string& folder, uint64_t dice,
                                            DiskCalls calls = DiskCalls::real());
  const Recovered& recovered() const { return found_; }
  /// Hands over what was found, so that its reader can free it piece by piece; only the incarnation stays.
  Recovered take_recovered() {
    return {found_.incarnation, std::exchange(found_.checkpoint, {}), std::exchange(found_.journal, {})};
  }
  /// How many bytes of torn tail were cut at the start.
  size_t cut() const { return cut_; }
  /// Appends all of these or, on a full disk, none.
  DiskResult append(const std::vector<std::string>& records);
  /// On a full disk what was appended since the last sync is taken back.
  DiskResult sync();
  /// Writes a checkpoint that stands for all before it, then drops the segments behind.
  DiskResult checkpoint(const std::string& bytes);
  /// How many appends have been synced.
  uint64_t durable() const { return durable_; }
  /// Bytes that a checkpoint would set free.
  size_t kept() const { return kept_; }
  uint64_t syncs() const { return syncs_; }

 private:
  Disk(std::string folder, DiskCalls calls) : folder_(std::move(folder)), calls_(std::move(calls)) {}
  Errors load(uint64_t dice);
  Errors load_segment(uint64_t seq, bool last);
  Errors cut_tail(uint64_t seq, size_t at, size_t bytes);
  Errors hold_found();
  DiskResult open_segment(uint64_t seq);
  DiskResult begin_segment();
  DiskResult settle();
  DiskResult mark();
  DiskResult put(const std::string& bytes);
  DiskResult cut_back(size_t to);
  DiskResult write_all(int fd, std::string_view s);
  DiskResult write_checkpoint(const std::string& bytes);
  void reserve();
  int sync_folder();
  bool write_whole(const std::string& name, const std::string& bytes);
  std::string path(const char* kind, uint64_t seq) const;
  std::string folder_;
  DiskCalls calls_;
  Recovered found_;
  Fd segment_, lock_;
  uint64_t seq_ = 0, appended_ = 0, durable_ = 0;
  std::atomic<uint64_t> syncs_{0};
  size_t size_ = 0, synced_ = 0, kept_ = 0, cut_ = 0, point_ = 0;
  /// Records, bytes of any kind, and names in the folder that may not be on disk yet.
  bool dirty_ = false, loose_ = false, folder_loose_ = false;
  bool marked_ = true, ends_in_mark_ = false;
};

}  // namespace mosskeel
