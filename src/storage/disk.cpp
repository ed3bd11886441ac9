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

constexpr int kFileMode = 0644;

/// Converts the errno of a failed system call.
DiskResult result_of_errno() {
  // EFBIG: the process's limit of a file's size.
  bool no_space = errno == ENOSPC || errno == EDQUOT || errno == EFBIG;
  return {no_space ? DiskResult::full : DiskResult::failed};
}

uint64_t available_bytes(const std::string& folder) {
  struct statvfs info {};
  if (::statvfs(folder.c_str(), &info) != 0)
    return 0;
  return info.f_bavail * info.f_frsize;
}

int sync_directory(const char* folder) {
  Fd directory(::open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  return directory ? ::fsync(directory.get()) : -1;
}

}  // namespace

DiskCalls DiskCalls::real() {
  DiskCalls calls;
  calls.open = [](const char* path, int flags) {
    return ::open(path, flags, kFileMode);
  };
  calls.write = [](int fd, const void* bytes, size_t size) {
    return ::write(fd, bytes, size);
  };
  calls.sync = [](int fd) {
    return ::fdatasync(fd);
  };
  calls.truncate = [](int fd, off_t size) {
    return ::ftruncate(fd, size);
  };
  calls.allocate = [](int fd, size_t size) {
    return ::posix_fallocate(fd, 0, static_cast<off_t>(size));
  };
  calls.free_bytes = available_bytes;
  calls.rename = [](const char* from, const char* to) {
    return ::rename(from, to);
  };
  calls.remove = [](const char* path) {
    return ::unlink(path);
  };
  calls.sync_folder = sync_directory;
  return calls;
}

Recovered Disk::take_recovered() {
  return {recovered_.incarnation, std::exchange(recovered_.checkpoint, {}), std::exchange(recovered_.journal, {})};
}

std::string Disk::path(const char* kind, uint64_t sequence) const {
  return folder_ + "/" + kind + "-" + hex(sequence);
}

int Disk::sync_folder() {
  return calls_.sync_folder(folder_.c_str());
}

DiskResult Disk::write_all(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    // A write that returns 0 sets no errno; it is treated as a full disk.
    errno = ENOSPC;
    auto written = calls_.write(fd, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR)
      continue;
    if (written <= 0)
      return result_of_errno();
    bytes.remove_prefix(static_cast<size_t>(written));
  }
  return {};
}

/// Rolls the segment back to `size`. Returns `full` on success, for the caller to return.
DiskResult Disk::truncate_segment(size_t size) {
  if (calls_.truncate(segment_.get(), static_cast<off_t>(size)) != 0)
    return {DiskResult::failed};
  reclaimable_bytes_ -= segment_size_ - size;
  segment_size_ = size;
  bytes_unsynced_ = true;
  return {DiskResult::full};
}

DiskResult Disk::append_bytes(const std::string& bytes) {
  auto size_before = segment_size_;
  auto result = write_all(segment_.get(), bytes);
  if (result.kind == DiskResult::failed)
    return result;
  if (result.kind == DiskResult::full)
    return truncate_segment(size_before);
  segment_size_ += bytes.size();
  reclaimable_bytes_ += bytes.size();
  bytes_unsynced_ = true;
  return result;
}

DiskResult Disk::append_sync_mark() {
  SyncMark mark{SyncMark::kMagic, recovered_.incarnation, segment_sequence_, synced_size_};
  return append_bytes(frame(codec::encode(mark)));
}

DiskResult Disk::sync_segment() {
  DiskResult result;
  if (folder_unsynced_ && sync_folder() != 0)
    result = result_of_errno();
  if (result && bytes_unsynced_) {
    ++sync_count_;
    if (calls_.sync(segment_.get()) != 0)
      result = result_of_errno();
  }
  if (result.kind == DiskResult::full) {
    appends_ = durable_appends_;
    return truncate_segment(synced_size_);
  }
  if (!result)
    return result;
  synced_size_ = segment_size_;
  durable_appends_ = appends_;
  records_unsynced_ = false;
  bytes_unsynced_ = false;
  folder_unsynced_ = false;
  return result;
}

DiskResult Disk::open_segment(uint64_t sequence) {
  Fd file(calls_.open(path("log", sequence).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC));
  if (!file)
    return result_of_errno();
  struct stat info {};
  if (::fstat(file.get(), &info) != 0)
    return {DiskResult::failed};
  segment_ = std::move(file);
  segment_sequence_ = sequence;
  segment_size_ = static_cast<size_t>(info.st_size);
  synced_size_ = segment_size_;
  folder_unsynced_ = true;
  return {};
}

/// Starts the next segment if the current one is too large or has no sync marks. The first mark is synced before any
/// record is written, so that an unreadable first mark means that the segment lost data.
DiskResult Disk::prepare_segment() {
  bool segment_is_closed = segment_size_ > kSegmentBytes || !begins_with_mark_;
  if (segment_size_ && segment_is_closed) {
    if (auto result = sync_segment(); !result)
      return result;
    if (auto result = open_segment(segment_sequence_ + 1); !result)
      return result;
  }
  if (segment_size_)
    return {};
  begins_with_mark_ = true;
  if (auto result = append_sync_mark(); !result)
    return result;
  return sync_segment();
}

DiskResult Disk::append(const std::vector<std::string>& records) {
  if (records.empty())
    return {};
  if (auto result = prepare_segment(); !result)
    return result;
  std::string frames;
  for (const auto& record : records)
    frames += frame(record);
  auto result = append_bytes(frames);
  if (result) {
    ++appends_;
    records_unsynced_ = true;
  }
  return result;
}

DiskResult Disk::sync() {
  if (!records_unsynced_)
    return {};
  if (auto result = sync_segment(); !result)
    return result;
  // The records are already synced. The mark only helps recovery, so a disk too full for it is not an error.
  auto result = append_sync_mark();
  return result.kind == DiskResult::failed ? result : DiskResult{};
}

/// Replaces a small file atomically: after a crash it has either the old or the new content.
bool Disk::replace_file(const std::string& path, const std::string& bytes) {
  auto temporary = folder_ + "/unfinished";
  {
    Fd file(calls_.open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC));
    if (!file || !write_all(file.get(), bytes) || calls_.sync(file.get()) != 0)
      return false;
  }
  return calls_.rename(temporary.c_str(), path.c_str()) == 0 && sync_folder() == 0;
}

void Disk::allocate_reserve() {
  auto reserve = folder_ + "/reserve";
  auto wanted = std::max(kDiskReserveBytes, checkpoint_size_);
  struct stat info {};
  bool is_allocated = ::stat(reserve.c_str(), &info) == 0 && static_cast<size_t>(info.st_size) >= wanted;
  if (is_allocated || calls_.free_bytes(folder_) < kDiskReserveMinimumFactor * wanted)
    return;
  Fd file(calls_.open(reserve.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC));
  if (file && calls_.allocate(file.get(), wanted) != 0)
    calls_.remove(reserve.c_str());
}

/// Writes the framed checkpoint into the reserve file and renames the file to its final name.
DiskResult Disk::write_checkpoint_file(int fd, const std::string& bytes) {
  auto header = frame_header(bytes);
  if (auto result = write_all(fd, header); !result)
    return result;
  if (auto result = write_all(fd, bytes); !result)
    return result;
  if (calls_.truncate(fd, static_cast<off_t>(header.size() + bytes.size())) != 0)
    return {DiskResult::failed};
  if (calls_.sync(fd) != 0)
    return result_of_errno();
  auto reserve = folder_ + "/reserve";
  if (calls_.rename(reserve.c_str(), path("checkpoint", segment_sequence_).c_str()) != 0)
    return result_of_errno();
  return {};
}

/// Writes into the reserve's space, which is already allocated; the file is renamed after all its data is synced.
DiskResult Disk::write_checkpoint(const std::string& bytes) {
  auto reserve = folder_ + "/reserve";
  Fd file(calls_.open(reserve.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC));
  if (!file)
    return result_of_errno();
  struct stat info {};
  if (::fstat(file.get(), &info) != 0)
    return {DiskResult::failed};
  auto result = write_checkpoint_file(file.get(), bytes);
  if (result)
    return sync_folder() == 0 ? result : DiskResult{DiskResult::failed};
  // Restores the reserve's previous size.
  if (info.st_size == 0)
    calls_.remove(reserve.c_str());
  else if (calls_.truncate(file.get(), info.st_size) != 0)
    return {DiskResult::failed};
  return result;
}

void Disk::remove_files_before_segment() {
  std::error_code ignored;
  for (const auto& file : fs::directory_iterator(folder_, ignored)) {
    auto name = file.path().filename().string();
    auto dash = name.find('-');
    if (dash == std::string::npos)
      continue;
    auto sequence = unhex(name.substr(dash + 1));
    if (sequence && *sequence < segment_sequence_)
      calls_.remove(file.path().c_str());
  }
}

DiskResult Disk::checkpoint(const std::string& bytes) {
  if (auto result = sync_segment(); !result)
    return result;
  if (segment_size_) {
    if (auto result = open_segment(segment_sequence_ + 1); !result)
      return result;
    if (auto result = sync_segment(); !result)
      return result;
  }
  if (auto result = write_checkpoint(bytes); !result)
    return result;
  remove_files_before_segment();
  checkpoint_size_ = bytes.size();
  reclaimable_bytes_ = bytes.size();
  allocate_reserve();
  return {};
}

}  // namespace mosskeel
