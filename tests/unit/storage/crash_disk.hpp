#pragma once
// A folder whose every change is recorded, so that a test can play a kill or a loss of power after any of them.
#include <map>
#include <random>

#include "unit/storage/disk_fixture.hpp"

namespace mosskeel {

/// Thrown out of a call in place of the process's death.
struct ProcessKilled {};

class CrashDisk {
 public:
  using Content = std::string;
  using Files = std::map<std::string, Content>;

  /// Lets this many changes happen, then kills the process within the next one; negative never does.
  explicit CrashDisk(long changes_until_kill = -1) : changes_left_(changes_until_kill) {}

  /// Calls for a `Disk` on `folder()`. Only paths in that folder may be used.
  DiskCalls calls();
  const Folder& folder() const { return folder_; }
  /// How many changes were made so far.
  long changes() const { return changes_; }
  void never_kill() { changes_left_ = -1; }
  /// Changes of names that no sync of the folder has covered yet.
  size_t unsynced_names() const { return name_changes_.size(); }
  /// What a loss of power leaves: the changes of names in `kept` (one bit each, in order of time) and, of each file,
  /// what was synced and those later writes for which `write_kept` gives more than nothing of their bytes.
  Files after_power_loss(uint64_t kept, const std::function<size_t(size_t)>& write_kept) const;

 private:
  /// A write at an offset, or without bytes a change of the length to `offset`.
  struct DataChange {
    size_t offset;
    Content bytes;
    bool resize;
  };
  struct File {
    Content synced;
    std::vector<DataChange> later;
  };
  /// A name that comes to stand for a file, or with no file is gone.
  struct NameChange {
    std::string name;
    std::optional<size_t> file;
  };
  static void change(Content& c, const DataChange& d, size_t kept);
  static std::string name_of(const std::string& path) { return path.substr(path.rfind('/') + 1); }
  void count();
  void name(const std::string& n, std::optional<size_t> file);
  int open(const char* path, int flags);
  ssize_t write(int fd, const void* bytes, size_t n);
  int resize(int fd, size_t length);
  int sync(int fd);

  Folder folder_;
  long changes_left_, changes_ = 0;
  std::vector<File> files_;
  std::map<std::string, size_t> synced_names_, names_;
  std::vector<NameChange> name_changes_;
  std::map<int, size_t> open_;
};

inline void CrashDisk::change(Content& c, const DataChange& d, size_t kept) {
  if (d.resize) {
    c.resize(d.offset);
    return;
  }
  kept = std::min(kept, d.bytes.size());
  if (c.size() < d.offset + kept)
    c.resize(d.offset + kept);
  c.replace(d.offset, kept, d.bytes.substr(0, kept));
}

inline void CrashDisk::count() {
  if (changes_left_ == 0)
    throw ProcessKilled{};
  if (changes_left_ > 0)
    --changes_left_;
  ++changes_;
}

inline void CrashDisk::name(const std::string& n, std::optional<size_t> file) {
  name_changes_.push_back({n, file});
  if (file)
    names_[n] = *file;
  else
    names_.erase(n);
}

inline int CrashDisk::open(const char* path, int flags) {
  auto n = name_of(path);
  bool fresh = !names_.count(n);
  if (fresh || flags & O_TRUNC)
    count();
  int fd = ::open(path, flags, 0644);
  if (fd < 0)
    return fd;
  if (fresh) {
    files_.push_back({});
    name(n, files_.size() - 1);
  }
  open_[fd] = names_[n];
  if (flags & O_TRUNC)
    files_[open_[fd]].later.push_back({0, {}, true});
  return fd;
}

inline ssize_t CrashDisk::write(int fd, const void* bytes, size_t n) {
  count();
  struct stat st {};
  ::fstat(fd, &st);
  bool append = ::fcntl(fd, F_GETFL) & O_APPEND;
  auto at = append ? static_cast<size_t>(st.st_size) : static_cast<size_t>(::lseek(fd, 0, SEEK_CUR));
  files_[open_.at(fd)].later.push_back({at, Content(static_cast<const char*>(bytes), n), false});
  return ::write(fd, bytes, n);
}

inline int CrashDisk::resize(int fd, size_t length) {
  count();
  files_[open_.at(fd)].later.push_back({length, {}, true});
  return ::ftruncate(fd, static_cast<off_t>(length));
}

inline int CrashDisk::sync(int fd) {
  count();
  auto& f = files_[open_.at(fd)];
  for (auto& d : f.later)
    change(f.synced, d, d.bytes.size());
  f.later.clear();
  return 0;
}

inline DiskCalls CrashDisk::calls() {
  constexpr size_t small_reserve = 200;  // bytes; a whole reserve would only make the test slow
  auto c = DiskCalls::real();
  c.open = [this](const char* p, int flags) {
    return open(p, flags);
  };
  c.write = [this](int fd, const void* p, size_t n) {
    return write(fd, p, n);
  };
  c.sync = [this](int fd) {
    return sync(fd);
  };
  c.truncate = [this](int fd, off_t n) {
    return resize(fd, static_cast<size_t>(n));
  };
  c.allocate = [this](int fd, size_t) {
    return resize(fd, small_reserve);
  };
  c.room = [](const std::string&) {
    return uint64_t{1} << 40;
  };
  c.rename = [this](const char* from, const char* to) {
    count();
    auto file = names_.at(name_of(from));
    name(name_of(from), std::nullopt);
    name(name_of(to), file);
    return ::rename(from, to);
  };
  c.remove = [this](const char* p) {
    count();
    name(name_of(p), std::nullopt);
    return ::unlink(p);
  };
  c.sync_folder = [this](const char*) {
    count();
    synced_names_ = names_;
    name_changes_.clear();
    return 0;
  };
  return c;
}

inline CrashDisk::Files CrashDisk::after_power_loss(uint64_t kept,
                                                    const std::function<size_t(size_t)>& write_kept) const {
  std::vector<Content> contents;
  for (auto& f : files_) {
    auto c = f.synced;
    for (auto& d : f.later)
      if (auto n = write_kept(d.resize ? 1 : d.bytes.size()))
        change(c, d, n);
    contents.push_back(std::move(c));
  }
  auto names = synced_names_;
  for (size_t i = 0; i < name_changes_.size(); ++i) {
    if (!(kept >> i & 1))
      continue;
    if (name_changes_[i].file)
      names[name_changes_[i].name] = *name_changes_[i].file;
    else
      names.erase(name_changes_[i].name);
  }
  Files files;
  for (auto& [n, file] : names)
    files[n] = contents[file];
  return files;
}

}  // namespace mosskeel
