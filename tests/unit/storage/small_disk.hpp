#pragma once
// A simulated disk that can be full or fail.
#include "unit/storage/data_folder.hpp"

namespace mosskeel::test {

/// The offset of the next write: the file's end if it is open for appending, else its position.
size_t write_offset(int file);

/// Fails whatever would make a folder larger than the disk. A write that fits only in part is a short write, as on real
/// file systems. The disk's size and errors may be changed at any time.
class SmallDisk {
 public:
  explicit SmallDisk(const DataFolder& folder, size_t disk_size = kAmpleSize) : size(disk_size), folder_(folder) {}

  /// Calls for a `Disk` on the folder, valid during the lifetime of this object.
  DiskCalls calls();
  size_t used() const { return folder_.used_bytes(); }
  size_t free_bytes() const { return size > used() ? size - used() : 0; }
  /// Sets the disk's size so that this many bytes are free.
  void set_free_bytes(size_t count) { size = used() + count; }

  size_t size;
  /// The errno with which every sync and every write fails; 0 for none.
  int sync_error = 0;
  int write_error = 0;

 private:
  /// Bytes; far more than any test writes.
  static constexpr size_t kAmpleSize = size_t{1} << 30;

  ssize_t write(int file, const void* bytes, size_t count) const;

  const DataFolder& folder_;
};

}  // namespace mosskeel::test
