#pragma once
// A daemon's data folder: its identity, and a segmented log with checkpoints.
#include <atomic>

#include "base/fd.hpp"
#include "storage/recovered.hpp"

namespace mosskeel {

/// The result of a write. On `full` the content of the disk is unchanged, and the write may be retried; on `failed` its
/// content is unknown, and the daemon must stop.
struct DiskResult {
  enum Kind { done, full, failed } kind = done;
  explicit operator bool() const { return kind == done; }
  bool operator==(const DiskResult&) const = default;
};

/// Every call that changes the disk, replaceable so that tests can make it fail or simulate a crash after it. Each
/// returns what the system call of its name returns.
struct DiskCalls {
  std::function<int(const char* path, int flags)> open;
  std::function<ssize_t(int fd, const void* bytes, size_t size)> write;
  std::function<int(int fd)> sync;
  std::function<int(int fd, off_t size)> truncate;
  /// Allocates space for a file; returns an error number or 0.
  std::function<int(int fd, size_t size)> allocate;
  /// Bytes available on the file system of a folder.
  std::function<uint64_t(const std::string& folder)> free_bytes;
  std::function<int(const char* from, const char* to)> rename;
  std::function<int(const char* path)> remove;
  /// Syncs a folder's entries: creations, renames and removals.
  std::function<int(const char* folder)> sync_folder;
  static DiskCalls real();
};

/// Files in the folder: `identity` (the incarnation), `lock`, `log-N` (segments of framed records, see log_frame.hpp),
/// `checkpoint-N` (replaces all segments before log-N), and `reserve` (space allocated for the next checkpoint).
///
/// Invariant: what `sync` or `checkpoint` has acknowledged is recovered after any crash, in order; an unsynced tail may
/// be recovered in part, but never with a gap. Corruption of synced bytes is reported by `open`, never skipped.
///
/// Used by one thread at a time (the host's disk thread); `sync_count` may be read from any thread. One process per
/// folder.
class Disk {
 public:
  /// Opens a data folder, or creates it with `new_identity` as its incarnation. Fails if the folder is damaged, not
  /// writable, or in use by another daemon.
  static Result<std::shared_ptr<Disk>> open(const std::string& folder, uint64_t new_identity,
                                            DiskCalls calls = DiskCalls::real());

  /// The data that was in the folder when it was opened.
  const Recovered& recovered() const { return recovered_; }
  /// Moves the recovered data out, so that the caller can free it incrementally; only the incarnation is kept.
  Recovered take_recovered();
  /// Bytes of an unsynced tail that were truncated when the folder was opened.
  size_t truncated_bytes() const { return truncated_bytes_; }

  /// Appends all records or, on a full disk, none. They are durable after the next `sync`.
  DiskResult append(const std::vector<std::string>& records);
  /// Makes all appended records durable; on a full disk the records appended since the last sync are rolled back.
  DiskResult sync();
  /// Writes a checkpoint that replaces all records before it, then removes the segments that it replaces.
  DiskResult checkpoint(const std::string& bytes);

  /// The number of `append` calls whose records are durable.
  uint64_t durable_appends() const { return durable_appends_; }
  /// Bytes that a checkpoint would free.
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
  DiskResult write_checkpoint_file(int fd, const std::string& bytes);
  void remove_files_before_segment();
  void allocate_reserve();
  int sync_folder();
  bool replace_file(const std::string& path, const std::string& bytes);
  std::string path(const char* kind, uint64_t sequence) const;

  const std::string folder_;
  const DiskCalls calls_;
  Recovered recovered_;
  Fd segment_;
  /// Locked during the lifetime of this object.
  Fd lock_;
  /// The sequence number of the segment being written.
  uint64_t segment_sequence_ = 0;
  uint64_t appends_ = 0;
  uint64_t durable_appends_ = 0;
  std::atomic<uint64_t> sync_count_{0};
  /// The segment's size in bytes, and how many of them are synced.
  size_t segment_size_ = 0;
  size_t synced_size_ = 0;
  size_t reclaimable_bytes_ = 0;
  size_t truncated_bytes_ = 0;
  size_t checkpoint_size_ = 0;
  /// Whether records, any bytes of the segment, and entries of the folder may not be durable yet.
  bool records_unsynced_ = false;
  bool bytes_unsynced_ = false;
  bool folder_unsynced_ = false;
  /// Whether the segment begins with a sync mark; segments written by versions without sync marks do not.
  bool begins_with_mark_ = true;
  bool ends_with_mark_ = false;
};

}  // namespace mosskeel
