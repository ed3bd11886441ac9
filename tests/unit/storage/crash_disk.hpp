#pragma once
// A simulated disk that records every change, so that a test can simulate a kill or a power loss after any of them.
#include "unit/storage/data_folder.hpp"

namespace mosskeel::test {

/// Thrown by a disk call to simulate that the process is killed.
struct ProcessKilled {};

/// Forwards the changes of a folder to the real disk, and tracks which of them survive a power loss: the synced bytes
/// of a file, and the names that were synced with the folder. Each unsynced change may survive or be lost
/// independently.
class CrashDisk {
 public:
  /// Contents by file name.
  using Files = std::map<std::string, std::string>;
  /// For an unsynced change of `count` bytes, returns how many of them survive. A change of a file's length counts as
  /// one byte.
  using KeptBytes = std::function<size_t(size_t count)>;

  /// Allows this many changes and kills the process in the next one; without a number it never does.
  explicit CrashDisk(std::optional<long> changes_until_kill = std::nullopt) : changes_left_(changes_until_kill) {}

  /// Calls for a `Disk` on `folder()`, valid during the lifetime of this object. Only paths in that folder may be used.
  DiskCalls calls();
  const DataFolder& folder() const { return folder_; }
  /// The number of changes made so far.
  long changes() const { return changes_; }
  void never_kill() { changes_left_.reset(); }
  /// The number of name changes since the last sync of the folder.
  size_t unsynced_names() const { return unsynced_name_changes_.size(); }
  /// The files that survive a power loss.
  /// @param kept_names bit mask of the unsynced name changes that survive; the lowest bit is the earliest change.
  /// @param kept_bytes called for each unsynced change of a file, in chronological order.
  Files after_power_loss(uint64_t kept_names, const KeptBytes& kept_bytes) const;

 private:
  /// A write of bytes at an offset or, if `is_resize`, a change of the file's length to `offset`.
  struct DataChange {
    size_t offset = 0;
    std::string bytes;
    bool is_resize = false;
  };
  struct File {
    std::string synced;
    std::vector<DataChange> unsynced_changes;
  };
  /// A name now refers to `file` or, without a value, is removed.
  struct NameChange {
    std::string name;
    std::optional<size_t> file;
  };
  /// Indices into `files_` by name.
  using Names = std::map<std::string, size_t>;

  /// Counts a change that is about to be made, or kills the process instead.
  void count_change();
  void change_name(const std::string& name, std::optional<size_t> file);
  static void apply(Names& names, const NameChange& change);
  /// Applies the first `kept` bytes of a write, or a change of the length.
  static void apply(std::string& content, const DataChange& change, size_t kept);

  int open(const char* path, int flags);
  ssize_t write(int descriptor, const void* bytes, size_t count);
  int resize(int descriptor, size_t length);
  int sync(int descriptor);
  int rename(const char* from, const char* to);
  int remove(const char* path);
  int sync_folder();

  DataFolder folder_;
  std::optional<long> changes_left_;
  long changes_ = 0;
  /// Every file that was ever created, including removed ones.
  std::vector<File> files_;
  Names synced_names_;
  Names names_;
  std::vector<NameChange> unsynced_name_changes_;
  /// Indices into `files_` by descriptor.
  std::map<int, size_t> open_files_;
};

}  // namespace mosskeel::test
