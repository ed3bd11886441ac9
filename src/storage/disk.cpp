#include "storage/disk.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <sys/statvfs.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>

#include "storage/constants.hpp"
#include "storage/log_frame.hpp"

namespace mosskeel {
namespace fs = std::filesystem;

namespace {

DiskResult refused() {
  return {errno == ENOSPC || errno == EDQUOT ? DiskResult::full : DiskResult::failed};
}

}  // namespace

DiskCalls DiskCalls::real() {
  return {[](const char* p, int flags) { return ::open(p, flags, 0644); },
          [](int fd, const void* p, size_t n) { return ::write(fd, p, n); },
          [](int fd) { return ::fdatasync(fd); },
          [](int fd, off_t n) { return ::ftruncate(fd, n); },
          [](int fd, size_t n) { return ::posix_fallocate(fd, 0, static_cast<off_t>(n)); },
          [](const std::string& folder) {
            struct statvfs s {};
            return ::statvfs(folder.c_str(), &s) == 0 ? s.f_bavail * s.f_frsize : uint64_t{0};
          },
          [](const char* from, const char* to) { return ::rename(from, to); },
          [](const char* p) { return ::unlink(p); },
          [](const char* folder) {
            Fd d(::open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC));
            return d ? ::fsync(d.get()) : -1;
          }};
}

std::string Disk::path(const char* kind, uint64_t seq) const {
  return folder_ + "/" + kind + "-" + hex(seq);
}

int Disk::sync_folder() {
  return calls_.sync_folder(folder_.c_str());
}

DiskResult Disk::write_all(int fd, std::string_view s) {
  while (!s.empty()) {
    errno = ENOSPC;
    auto n = calls_.write(fd, s.data(), s.size());
    if (n < 0 && errno == EINTR)
      continue;
    if (n <= 0)
      return refused();
    s.remove_prefix(static_cast<size_t>(n));
  }
  return {};
}

DiskResult Disk::cut_back(size_t to) {
  if (calls_.truncate(segment_.get(), static_cast<off_t>(to)) != 0)
    return {DiskResult::failed};
  kept_ -= size_ - to;
  size_ = to;
  loose_ = true;
  return {DiskResult::full};
}

DiskResult Disk::put(const std::string& bytes) {
  auto before = size_;
  auto r = write_all(segment_.get(), bytes);
  if (r.kind == DiskResult::failed)
    return r;
  if (r.kind == DiskResult::full)
    return cut_back(before);
  size_ += bytes.size();
  kept_ += bytes.size();
  loose_ = true;
  return r;
}

DiskResult Disk::mark() {
  return put(frame(codec::pack(SyncMark{SyncMark::word, found_.incarnation, seq_, synced_})));
}

DiskResult Disk::settle() {
  auto r = folder_loose_ && sync_folder() != 0 ? refused() : DiskResult{};
  if (r && loose_) {
    ++syncs_;
    if (calls_.sync(segment_.get()) != 0)
      r = refused();
  }
  if (r.kind == DiskResult::full) {
    appended_ = durable_;
    return cut_back(synced_);
  }
  if (!r)
    return r;
  synced_ = size_;
  durable_ = appended_;
  dirty_ = loose_ = folder_loose_ = false;
  return r;
}

DiskResult Disk::open_segment(uint64_t seq) {
  Fd f(calls_.open(path("log", seq).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC));
  if (!f)
    return refused();
  struct stat st {};
  if (::fstat(f.get(), &st) != 0)
    return {DiskResult::failed};
  segment_ = std::move(f);
  seq_ = seq;
  size_ = synced_ = static_cast<size_t>(st.st_size);
  folder_loose_ = true;
  return {};
}

/// The first mark is on disk before any record: where it cannot be read, a segment has lost what it had.
DiskResult Disk::begin_segment() {
  if (size_ && (size_ > kSegmentBytes || !marked_)) {
    if (auto r = settle(); !r)
      return r;
    if (auto r = open_segment(seq_ + 1); !r)
      return r;
  }
  if (size_)
    return {};
  marked_ = true;
  if (auto r = mark(); !r)
    return r;
  return settle();
}

DiskResult Disk::append(const std::vector<std::string>& records) {
  if (records.empty())
    return {};
  if (auto r = begin_segment(); !r)
    return r;
  std::string s;
  for (auto& r : records)
    s += frame(r);
  auto r = put(s);
  if (r)
    ++appended_, dirty_ = true;
  return r;
}

DiskResult Disk::sync() {
  if (!dirty_)
    return {};
  if (auto r = settle(); !r)
    return r;
  auto r = mark();
  return r.kind == DiskResult::failed ? r : DiskResult{};
}

bool Disk::write_whole(const std::string& name, const std::string& bytes) {
  auto tmp = folder_ + "/unfinished";
  {
    Fd f(calls_.open(tmp.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC));
    if (!f || !write_all(f.get(), bytes) || calls_.sync(f.get()) != 0)
      return false;
  }
  return calls_.rename(tmp.c_str(), name.c_str()) == 0 && sync_folder() == 0;
}

void Disk::reserve() {
  auto p = folder_ + "/reserve";
  auto want = std::max(kDiskReserveBytes, point_);
  struct stat st {};
  if (::stat(p.c_str(), &st) == 0 && static_cast<size_t>(st.st_size) >= want)
    return;
  if (calls_.room(folder_) < kDiskReserveMinimumFactor * want)
    return;
  Fd f(calls_.open(p.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC));
  if (f && calls_.allocate(f.get(), want) != 0)
    calls_.remove(p.c_str());
}

/// Into the room of the reserve, which nobody else can take; the file gets its name when all of it is on disk.
DiskResult Disk::write_checkpoint(const std::string& bytes) {
  auto p = folder_ + "/reserve";
  Fd f(calls_.open(p.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC));
  struct stat st {};
  if (!f)
    return refused();
  if (::fstat(f.get(), &st) != 0)
    return {DiskResult::failed};
  auto header = frame_header(bytes);
  auto r = write_all(f.get(), header);
  if (r)
    r = write_all(f.get(), bytes);
  if (r && calls_.truncate(f.get(), static_cast<off_t>(header.size() + bytes.size())) != 0)
    r = {DiskResult::failed};
  if (r && calls_.sync(f.get()) != 0)
    r = refused();
  if (r && calls_.rename(p.c_str(), path("checkpoint", seq_).c_str()) != 0)
    r = refused();
  if (r)
    return sync_folder() == 0 ? r : DiskResult{DiskResult::failed};
  if (!st.st_size)
    calls_.remove(p.c_str());
  else if (calls_.truncate(f.get(), st.st_size) != 0)
    return {DiskResult::failed};
  return r;
}

DiskResult Disk::checkpoint(const std::string& bytes) {
  if (auto r = settle(); !r)
    return r;
  if (size_) {
    if (auto r = open_segment(seq_ + 1); !r)
      return r;
    if (auto r = settle(); !r)
      return r;
  }
  if (auto r = write_checkpoint(bytes); !r)
    return r;
  std::error_code ec;
  for (auto& f : fs::directory_iterator(folder_, ec)) {
    auto n = f.path().filename().string();
    auto dash = n.find('-');
    if (dash == std::string::npos)
      continue;
    if (auto x = unhex(n.substr(dash + 1)); x && *x < seq_)
      calls_.remove(f.path().c_str());
  }
  kept_ = point_ = bytes.size();
  reserve();
  return {};
}

}  // namespace mosskeel
