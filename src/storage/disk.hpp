#pragma once
// A daemon's data folder: its identity, and a log in segments with checkpoints beside it.
#include <atomic>

#include "base/fd.hpp"
#include "storage/recovered.hpp"

namespace mosskeel {

/// What became of a write. On `full` the disk holds what it held before, and the same may be tried again; on `failed`
/// nothing is known of what it holds, and the daemon has to stop.
struct DiskResult {
  enum Kind { done, full, failed } kind = done;
  explicit operator bool() const { return kind == done; }
  bool operator==(const DiskResult&) const = default;
};

/// Every call that changes what is on disk, so that tests can refuse it or play a crash after it. Each returns as the
/// system call of its name does.
struct DiskCalls {
  std::function<int(const char* path, int flags)> open;
  std::function<ssize_t(int fd, const void* bytes, size_t size)> write;
  std::function<int(int fd)> sync;
  std::function<int(int fd, off_t size)> truncate;
  /// Allocates space for a file; an error number or 0.
  std::function<int(int fd, size_t size)> allocate;
  /// Bytes free in a folder.
  std::function<uint64_t(const std::string& folder)> free_bytes;
  std::function<int(const char* from, const char* to)> rename;
  std::function<int(const char* path)> remove;
  /// Makes the names in a folder durable.
  std::function<int(const char* folder)> sync_folder;
  static DiskCalls real();
};

/// Files in the folder: `identity` (the incarnation), `lock`, `log-N` (segments of framed records, see log_frame.hpp),
/// `checkpoint-N` (stands for all segments before log-N), and `reserve` (space kept for the next checkpoint).
///
/// Invariant: what `sync` or `checkpoint` has acknowledged is found again after any crash, in order; an unsynced tail
/// may be found in part, never with a gap. Damage to synced bytes is reported by `open`, never skipped.
///
/// One thread at a time (the host's disk thread); `sync_count` may be read from any thread. One process a folder.
class Disk {
 public:
  /// Opens a data folder, or creates it with `new_identity` as its incarnation. Errors where it is damaged, not
  /// writable, or in use by another daemon.
  static Result<std::shared_ptr<Disk>> open(const std::string& folder, uint64_t new_identity,
                                            DiskCalls calls = DiskCalls::real());

  /// What the folder held when it was opened.
  const Recovered& recovered() const { return recovered_; }
  /// Hands over what was found, so that its reader can free it piece by piece; only the incarnation stays.
  Recovered take_recovered();
  /// Bytes of an unsynced tail that were cut off when the folder was opened.
  size_t truncated_bytes() const { return truncated_bytes_; }

  /// Appends all of these records or, on a full disk, none. They are durable after the next `sync`.
  DiskResult append(const std::vector<std::string>& records);
  /// Makes all that was appended durable; on a full disk what was appended since the last sync is taken back.
  DiskResult sync();
  /// Writes a checkpoint that stands for all records before it, then removes the segments behind it.
  DiskResult checkpoint(const std::string& bytes);

  /// How many calls of `append` are durable.
  uint64_t durable_appends() const { return durable_appends_; }
  /// Bytes that a checkpoint would set free.
  size_t reclaimable_bytes() const { return reclaimable_bytes_; }
  uint64_t sync_count() const { return sync_count_; }

 private:
  Disk(std::string folder, DiskCalls calls) : folder_(std::move(folder)), calls_(std::move(calls)) {}

  // Recovery (disk_recovery.cpp).
  Errors load(uint64_t new_identity);
  Errors lock_folder();
  Errors load_identity(uint64_t new_identity);
  Errors load_checkpoint(uint64_t sequence);
  Errors load_segments(const std::vector<uint64_t>& sequences);
  Errors load_segment(uint64_t sequence, bool is_last);
  Errors truncate_tail(uint64_t sequence, size_t size, size_t excess);
  Errors sync_recovered();

  // Writing (disk.cpp).
  DiskResult open_segment(uint64_t sequence);
  DiskResult prepare_segment();
  DiskResult sync_segment();
  DiskResult append_sync_mark();
  DiskResult append_bytes(const std::string& bytes);
  DiskResult truncate_segment(size_t size);
  DiskResult write_all(int fd, std::string_view bytes);
  DiskResult write_checkpoint(const std::string& bytes);
  DiskResult fill_checkpoint(int fd, const std::string& bytes);
  void remove_files_before_segment();
  void allocate_reserve();
  int sync_folder();
  bool replace_file(const std::string& path, const std::string& bytes);
  std::string path(const char* kind, uint64_t sequence) const;

  const std::string folder_;
  const DiskCalls calls_;
  Recovered recovered_;
  Fd segment_;
  /// Held locked while this object lives.
  Fd lock_;
  /// The number of the segment that is written to.
  uint64_t segment_sequence_ = 0;
  uint64_t appends_ = 0;
  uint64_t durable_appends_ = 0;
  std::atomic<uint64_t> sync_count_{0};
  /// Bytes in the segment, and how many of them were synced.
  size_t segment_size_ = 0;
  size_t synced_size_ = 0;
  size_t reclaimable_bytes_ = 0;
  size_t truncated_bytes_ = 0;
  size_t checkpoint_size_ = 0;
  /// Whether records, bytes of any kind, and names in the folder may not be durable yet.
  bool records_unsynced_ = false;
  bool bytes_unsynced_ = false;
  bool folder_unsynced_ = false;
  /// Whether the segment begins with a sync mark; segments of daemons before these marks do not.
  bool begins_with_mark_ = true;
  bool ends_with_mark_ = false;
};

}  // namespace mosskeel
