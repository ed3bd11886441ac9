#include "unit/storage/small_disk.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace mosskeel::test {

size_t write_offset(int file) {
  bool appends = (::fcntl(file, F_GETFL) & O_APPEND) != 0;
  if (!appends)
    return static_cast<size_t>(::lseek(file, 0, SEEK_CUR));
  struct stat status {};
  ::fstat(file, &status);
  return static_cast<size_t>(status.st_size);
}

ssize_t SmallDisk::write(int file, const void* bytes, size_t count) const {
  if (write_error != 0) {
    errno = write_error;
    return -1;
  }
  struct stat status {};
  ::fstat(file, &status);
  auto largest_end = static_cast<size_t>(status.st_size) + free_bytes();
  auto writable = largest_end - write_offset(file);
  if (writable == 0) {
    errno = ENOSPC;
    return -1;
  }
  return ::write(file, bytes, std::min(count, writable));
}

DiskCalls SmallDisk::calls() {
  auto calls = DiskCalls::real();
  calls.write = [this](int file, const void* bytes, size_t count) {
    return write(file, bytes, count);
  };
  calls.sync = [this](int file) {
    if (sync_error == 0)
      return ::fdatasync(file);
    errno = sync_error;
    return -1;
  };
  calls.allocate = [this](int file, size_t count) {
    return count > free_bytes() ? ENOSPC : ::ftruncate(file, static_cast<off_t>(count));
  };
  calls.free_bytes = [this](const std::string&) {
    return free_bytes();
  };
  return calls;
}

}  // namespace mosskeel::test
