#pragma once
// A data folder for one test, and a small disk around it.
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "storage/disk.hpp"
#include "unit/catch.hpp"

namespace mosskeel {

struct Folder {
  std::string path;
  Folder() {
    std::string t = std::filesystem::temp_directory_path() / "mosskeel-disk-XXXXXX";
    path = mkdtemp(t.data());
  }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string only(const std::string& prefix) const {
    std::string s;
    for (auto& f : std::filesystem::directory_iterator(path))
      if (f.path().filename().string().starts_with(prefix))
        s = std::max(s, f.path().string());
    return s;
  }
  std::shared_ptr<Disk> open(DiskCalls calls = DiskCalls::real()) const {
    auto d = Disk::open(path, 42, std::move(calls));
    INFO((d.ok() ? "" : to_string(d.errors())));
    REQUIRE(d.ok());
    return d.value();
  }
  void damage(const std::string& file, size_t at) const {
    std::fstream s(file, std::ios::in | std::ios::out | std::ios::binary);
    s.seekp(static_cast<std::streamoff>(at));
    s.put('#');
  }
};

inline void fill(const Folder& f, int n, int from = 0) {
  auto d = f.open();
  for (int i = from; i < from + n; ++i)
    REQUIRE(d->append({"record " + std::to_string(i)}));
  REQUIRE(d->sync());
}

/// Refuses what would make the folder larger than `size`, with a short write first.
struct SmallDisk {
  const Folder& folder;
  size_t size = 1u << 30;
  int sync_error = 0, write_error = 0;
  size_t used() const {
    size_t n = 0;
    for (auto& f : std::filesystem::directory_iterator(folder.path))
      n += std::filesystem::file_size(f.path());
    return n;
  }
  size_t room() const { return size > used() ? size - used() : 0; }
  DiskCalls calls() {
    auto c = DiskCalls::real();
    c.write = [this](int fd, const void* p, size_t n) -> ssize_t {
      if (write_error)
        return errno = write_error, -1;
      struct stat st {};
      ::fstat(fd, &st);
      auto end = static_cast<size_t>(st.st_size);
      auto at = ::fcntl(fd, F_GETFL) & O_APPEND ? end : static_cast<size_t>(::lseek(fd, 0, SEEK_CUR));
      auto most = end + room() - at;
      if (!most)
        return errno = ENOSPC, -1;
      return ::write(fd, p, std::min(n, most));
    };
    c.sync = [this](int fd) {
      return sync_error ? (errno = sync_error, -1) : ::fdatasync(fd);
    };
    c.allocate = [this](int fd, size_t n) {
      return n > room() ? ENOSPC : ::ftruncate(fd, static_cast<off_t>(n));
    };
    c.room = [this](const std::string&) {
      return room();
    };
    return c;
  }
};

}  // namespace mosskeel
