#pragma once
// A disk whose every change is recorded, so that a test can play a kill or a loss of power after any of them.
#include "unit/storage/data_folder.hpp"

namespace mosskeel::test {

/// Thrown out of a call in place of the process's death.
struct ProcessKilled {};

/// Passes the changes of a folder on to the real disk, and keeps which of them a loss of power would leave: the bytes
/// of a file that were synced, and the names that were synced with the folder. Changes that were not synced may be
/// kept or lost each by itself.
class CrashDisk {
 public:
  /// Contents by file name.
  using Files = std::map<std::string, std::string>;
  /// Of a change that was not synced, how many of so many bytes are kept. Changes of a file's length count as one byte.
  using KeptBytes = std::function<size_t(size_t count)>;

  /// Lets this many changes happen and kills the process within the next one; without a number it never does.
  explicit CrashDisk(std::optional<long> changes_until_kill = std::nullopt) : changes_left_(changes_until_kill) {}

  /// Calls for a `Disk` on `folder()`; valid as long as this object. Only paths in that folder may be used.
  DiskCalls calls();
  const DataFolder& folder() const { return folder_; }
  /// How many changes were made so far.
  long changes() const { return changes_; }
  void never_kill() { changes_left_.reset(); }
  /// Changes of names that no sync of the folder has covered yet.
  size_t unsynced_names() const { return unsynced_name_changes_.size(); }
  /// What a loss of power leaves.
  /// @param kept_names the changes of names that are kept: one bit each, in order of time, the first is the lowest.
  /// @param kept_bytes asked for each unsynced change of a file, in order of time.
  Files after_power_loss(uint64_t kept_names, const KeptBytes& kept_bytes) const;

 private:
  /// A write of bytes at an offset, or a change of the length to `offset`.
  struct DataChange {
    size_t offset = 0;
    std::string bytes;
    bool is_resize = false;
  };
  struct File {
    std::string synced;
    std::vector<DataChange> unsynced_changes;
  };
  /// A name comes to stand for a file or, without one, is gone.
  struct NameChange {
    std::string name;
    std::optional<size_t> file;
  };
  /// Indexes of `files_` by name.
  using Names = std::map<std::string, size_t>;

  /// Counts a change that is about to happen, or kills the process instead.
  void count_change();
  void change_name(const std::string& name, std::optional<size_t> file);
  static void apply(Names& names, const NameChange& change);
  /// Applies a write, of which only the first `kept` bytes are kept, or a change of the length.
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
  /// Every file that there ever was, also under no name any more.
  std::vector<File> files_;
  Names synced_names_;
  Names names_;
  std::vector<NameChange> unsynced_name_changes_;
  /// Indexes of `files_` by descriptor.
  std::map<int, size_t> open_files_;
};

}  // namespace mosskeel::test
