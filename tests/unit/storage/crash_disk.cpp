#include "unit/storage/crash_disk.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>

#include "unit/storage/small_disk.hpp"

namespace mosskeel::test {

namespace {

/// Bytes; a reserve of the real size would only make the test slow.
constexpr size_t kReserveBytes = 200;
/// Bytes; more than any reserve file needs.
constexpr uint64_t kAmpleFreeBytes = uint64_t{1} << 40;

std::string name_of(const std::string& path) {
  return path.substr(path.rfind('/') + 1);
}

}  // namespace

void CrashDisk::count_change() {
  if (changes_left_ == 0)
    throw ProcessKilled{};
  if (changes_left_)
    --*changes_left_;
  ++changes_;
}

void CrashDisk::change_name(const std::string& name, std::optional<size_t> file) {
  NameChange change{name, file};
  apply(names_, change);
  unsynced_name_changes_.push_back(std::move(change));
}

void CrashDisk::apply(Names& names, const NameChange& change) {
  if (change.file)
    names[change.name] = *change.file;
  else
    names.erase(change.name);
}

void CrashDisk::apply(std::string& content, const DataChange& change, size_t kept) {
  if (change.is_resize) {
    content.resize(change.offset);
    return;
  }
  auto count = std::min(kept, change.bytes.size());
  auto end = change.offset + count;
  if (content.size() < end)
    content.resize(end);
  content.replace(change.offset, count, change.bytes.substr(0, count));
}

int CrashDisk::open(const char* path, int flags) {
  auto name = name_of(path);
  bool is_new = names_.count(name) == 0;
  bool truncates = (flags & O_TRUNC) != 0;
  if (is_new || truncates)
    count_change();
  int descriptor = ::open(path, flags, 0644);
  if (descriptor < 0)
    return descriptor;
  if (is_new) {
    files_.emplace_back();
    change_name(name, files_.size() - 1);
  }
  auto file = names_[name];
  open_files_[descriptor] = file;
  if (truncates)
    files_[file].unsynced_changes.push_back({.offset = 0, .is_resize = true});
  return descriptor;
}

ssize_t CrashDisk::write(int descriptor, const void* bytes, size_t count) {
  count_change();
  std::string written(static_cast<const char*>(bytes), count);
  auto& file = files_[open_files_.at(descriptor)];
  file.unsynced_changes.push_back({.offset = write_offset(descriptor), .bytes = std::move(written)});
  return ::write(descriptor, bytes, count);
}

int CrashDisk::resize(int descriptor, size_t length) {
  count_change();
  auto& file = files_[open_files_.at(descriptor)];
  file.unsynced_changes.push_back({.offset = length, .is_resize = true});
  return ::ftruncate(descriptor, static_cast<off_t>(length));
}

int CrashDisk::sync(int descriptor) {
  count_change();
  auto& file = files_[open_files_.at(descriptor)];
  for (const auto& change : file.unsynced_changes)
    apply(file.synced, change, change.bytes.size());
  file.unsynced_changes.clear();
  return 0;
}

int CrashDisk::rename(const char* from, const char* to) {
  count_change();
  auto file = names_.at(name_of(from));
  change_name(name_of(from), std::nullopt);
  change_name(name_of(to), file);
  return ::rename(from, to);
}

int CrashDisk::remove(const char* path) {
  count_change();
  change_name(name_of(path), std::nullopt);
  return ::unlink(path);
}

int CrashDisk::sync_folder() {
  count_change();
  synced_names_ = names_;
  unsynced_name_changes_.clear();
  return 0;
}

DiskCalls CrashDisk::calls() {
  auto calls = DiskCalls::real();
  calls.open = [this](const char* path, int flags) {
    return open(path, flags);
  };
  calls.write = [this](int descriptor, const void* bytes, size_t count) {
    return write(descriptor, bytes, count);
  };
  calls.sync = [this](int descriptor) {
    return sync(descriptor);
  };
  calls.truncate = [this](int descriptor, off_t length) {
    return resize(descriptor, static_cast<size_t>(length));
  };
  calls.allocate = [this](int descriptor, size_t) {
    return resize(descriptor, kReserveBytes);
  };
  calls.free_bytes = [](const std::string&) {
    return kAmpleFreeBytes;
  };
  calls.rename = [this](const char* from, const char* to) {
    return rename(from, to);
  };
  calls.remove = [this](const char* path) {
    return remove(path);
  };
  calls.sync_folder = [this](const char*) {
    return sync_folder();
  };
  return calls;
}

CrashDisk::Files CrashDisk::after_power_loss(uint64_t kept_names, const KeptBytes& kept_bytes) const {
  std::vector<std::string> contents;
  for (const auto& file : files_) {
    auto content = file.synced;
    for (const auto& change : file.unsynced_changes) {
      auto kept = kept_bytes(change.is_resize ? 1 : change.bytes.size());
      if (kept > 0)
        apply(content, change, kept);
    }
    contents.push_back(std::move(content));
  }
  auto names = synced_names_;
  for (size_t i = 0; i < unsynced_name_changes_.size(); ++i) {
    bool is_kept = (kept_names >> i & 1) != 0;
    if (is_kept)
      apply(names, unsynced_name_changes_[i]);
  }
  Files files;
  for (const auto& [name, file] : names)
    files[name] = contents[file];
  return files;
}

}  // namespace mosskeel::test
