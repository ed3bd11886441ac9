// Recovery of a data folder: finds the intact data, truncates an unsynced tail and reports corruption.
#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "storage/disk.hpp"
#include "storage/log_frame.hpp"

namespace mosskeel {
namespace fs = std::filesystem;

namespace {

constexpr std::string_view kLogPrefix = "log-";
constexpr std::string_view kCheckpointPrefix = "checkpoint-";
constexpr const char* kCorruptionAdvice =
    "restore the disk or empty the folder so that this machine joins as a new member";

Errors corrupted(const std::string& path, const std::string& message) {
  return {{path, message, ErrorCode::corruption}};
}

Errors io_error(const std::string& path, const std::string& message) {
  return {{path, message, ErrorCode::io_error}};
}

/// The whole file, read into a buffer of its size so that it is in memory only once.
std::string read_file(const std::string& path) {
  std::error_code error;
  auto size = fs::file_size(path, error);
  std::string bytes(error ? 0 : size, '\0');
  std::ifstream file(path, std::ios::binary);
  file.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  bytes.resize(static_cast<size_t>(file.gcount()));
  return bytes;
}

/// The sequence number in a file's name, if the name begins with `prefix`.
std::optional<uint64_t> sequence_in(const std::string& name, std::string_view prefix) {
  if (!name.starts_with(prefix))
    return std::nullopt;
  return unhex(name.substr(prefix.size()));
}

/// Whether data after the first damaged byte proves that the damage is not an unsynced tail: a mark according to which
/// this byte was synced or, in a segment without marks, any intact record.
///
/// `rest` starts at `damaged_at`, an offset in segment `sequence`.
bool proves_corruption(codec::Reader rest, size_t damaged_at, bool segment_has_marks, Incarnation incarnation,
                       uint64_t sequence) {
  for (auto position = damaged_at; rest.remaining.size() > kFrameHeaderBytes; ++position) {
    auto size_probe = rest;
    uint32_t record_size = 0;
    codec::get(size_probe, record_size);
    if (!segment_has_marks || record_size == SyncMark::kBytes) {
      auto probe = rest;
      if (auto record = unframe(probe)) {
        auto mark = decode_sync_mark(*record, incarnation, sequence);
        bool covers_damage = mark && mark->synced > damaged_at && mark->synced <= position;
        if (!segment_has_marks || covers_damage)
          return true;
      }
    }
    rest.remaining.remove_prefix(1);
  }
  return false;
}

}  // namespace

Result<std::shared_ptr<Disk>> Disk::open(const std::string& folder, uint64_t new_identity, DiskCalls calls) {
  std::shared_ptr<Disk> disk(new Disk(folder, std::move(calls)));
  if (auto errors = disk->load(new_identity); !errors.empty())
    return errors;
  return disk;
}

Errors Disk::lock_folder() {
  std::error_code error;
  fs::create_directories(folder_, error);
  if (error)
    return io_error(folder_, "cannot be created: " + error.message());
  lock_ = Fd(::open((folder_ + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644));
  if (!lock_)
    return io_error(folder_, "is not writable");
  if (::flock(lock_.get(), LOCK_EX | LOCK_NB) != 0)
    return {{folder_, "is held by another process", ErrorCode::unavailable}};
  return {};
}

Errors Disk::load_identity(uint64_t new_identity) {
  auto identity = folder_ + "/identity";
  // 0 stands for "no incarnation" in messages.
  if (!fs::exists(identity) && !replace_file(identity, hex(new_identity ? new_identity : 1)))
    return io_error(identity, "cannot be written");
  auto incarnation = unhex(read_file(identity));
  if (!incarnation)
    return corrupted(identity, "is damaged; empty the folder to start as a new member");
  recovered_.incarnation = Incarnation{*incarnation};
  return {};
}

Errors Disk::load(uint64_t new_identity) {
  if (auto errors = lock_folder(); !errors.empty())
    return errors;
  if (auto errors = load_identity(new_identity); !errors.empty())
    return errors;
  std::vector<uint64_t> segments;
  std::vector<uint64_t> checkpoints;
  std::error_code ignored;
  for (const auto& file : fs::directory_iterator(folder_, ignored)) {
    auto name = file.path().filename().string();
    if (auto sequence = sequence_in(name, kLogPrefix))
      segments.push_back(*sequence);
    if (auto sequence = sequence_in(name, kCheckpointPrefix))
      checkpoints.push_back(*sequence);
  }
  uint64_t first_segment = 0;
  if (!checkpoints.empty()) {
    first_segment = *std::max_element(checkpoints.begin(), checkpoints.end());
    if (auto errors = load_checkpoint(first_segment); !errors.empty())
      return errors;
  }
  std::sort(segments.begin(), segments.end());
  std::erase_if(segments, [&](uint64_t sequence) { return sequence < first_segment; });
  if (auto errors = load_segments(segments); !errors.empty())
    return errors;
  if (!open_segment(segments.empty() ? first_segment : segments.back()))
    return io_error(folder_, "its log cannot be opened for writing");
  return sync_recovered();
}

Errors Disk::load_checkpoint(uint64_t sequence) {
  auto bytes = read_file(path("checkpoint", sequence));
  codec::Reader reader{bytes};
  auto checkpoint = unframe(reader);
  if (!checkpoint || !reader.remaining.empty())
    return corrupted(path("checkpoint", sequence), std::string("is damaged; ") + kCorruptionAdvice);
  recovered_.checkpoint = std::move(*checkpoint);
  checkpoint_size_ = bytes.size();
  reclaimable_bytes_ = bytes.size();
  return {};
}

Errors Disk::load_segments(const std::vector<uint64_t>& sequences) {
  for (size_t i = 0; i < sequences.size(); ++i) {
    if (i > 0 && sequences[i] != sequences[i - 1] + 1)
      return corrupted(path("log", sequences[i - 1] + 1), "is missing from the log");
    bool is_last = i + 1 == sequences.size();
    if (auto errors = load_segment(sequences[i], is_last); !errors.empty())
      return errors;
  }
  return {};
}

Errors Disk::load_segment(uint64_t sequence, bool is_last) {
  auto bytes = read_file(path("log", sequence));
  codec::Reader reader{bytes};
  reclaimable_bytes_ += bytes.size();
  begins_with_mark_ = false;
  while (!reader.remaining.empty()) {
    auto position = bytes.size() - reader.remaining.size();
    auto record = unframe(reader);
    if (!record) {
      if (!is_last || proves_corruption(reader, position, begins_with_mark_, recovered_.incarnation, sequence)) {
        return corrupted(path("log", sequence),
                         "is damaged at byte " + std::to_string(position) + "; " + kCorruptionAdvice);
      }
      return truncate_tail(sequence, position, reader.remaining.size());
    }
    ends_with_mark_ = decode_sync_mark(*record, recovered_.incarnation, sequence).has_value();
    if (position == 0)
      begins_with_mark_ = ends_with_mark_;
    if (!ends_with_mark_)
      recovered_.journal.push_back(std::move(*record));
  }
  return {};
}

Errors Disk::truncate_tail(uint64_t sequence, size_t size, size_t excess) {
  truncated_bytes_ = excess;
  reclaimable_bytes_ -= excess;
  Fd file(calls_.open(path("log", sequence).c_str(), O_WRONLY | O_CLOEXEC));
  bool truncated = file && calls_.truncate(file.get(), static_cast<off_t>(size)) == 0 && calls_.sync(file.get()) == 0;
  if (!truncated)
    return io_error(path("log", sequence), "its torn tail cannot be truncated");
  return {};
}

/// The data that was read may not be on disk yet, and the daemon acknowledges it from now on.
Errors Disk::sync_recovered() {
  bytes_unsynced_ = true;
  auto result = sync_segment();
  if (result && segment_size_ && begins_with_mark_ && !ends_with_mark_)
    result = append_sync_mark();
  if (result.kind == DiskResult::failed)
    return io_error(path("log", segment_sequence_), "cannot be synced");
  records_unsynced_ = bytes_unsynced_;
  allocate_reserve();
  return {};
}

}  // namespace mosskeel
