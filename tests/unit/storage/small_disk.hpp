#pragma once
// A disk that can be full or broken.
#include "unit/storage/data_folder.hpp"

namespace mosskeel::test {

/// Where a write begins: at the file's end if it is open for appending, else at its position.
size_t write_offset(int file);

/// Refuses whatever would make a folder larger than the disk. A write that fits in part is done in part first, as file
/// systems do. The disk's size and its errors may change at any time.
class SmallDisk {
 public:
  explicit SmallDisk(const DataFolder& folder, size_t disk_size = kAmpleSize) : size(disk_size), folder_(folder) {}

  /// Calls for a `Disk` on the folder; valid as long as this object.
  DiskCalls calls();
  size_t used() const { return folder_.used_bytes(); }
  size_t free_bytes() const { return size > used() ? size - used() : 0; }
  /// Leaves that many bytes free.
  void set_free_bytes(size_t count) { size = used() + count; }

  size_t size;
  /// The error number that each sync, and each write, fails with; 0 for none.
  int sync_error = 0;
  int write_error = 0;

 private:
  /// Bytes; far more than a test writes.
  static constexpr size_t kAmpleSize = size_t{1} << 30;

  ssize_t write(int file, const void* bytes, size_t count) const;

  const DataFolder& folder_;
};

}  // namespace mosskeel::test
