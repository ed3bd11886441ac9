// Recovery of a data folder: synced records, torn tails, corruption, and the effects of short writes.
#include "storage/disk.hpp"

#include <fstream>

#include "storage/constants.hpp"
#include "storage/log_frame.hpp"
#include "unit/storage/data_folder.hpp"
#include "unit/storage/small_disk.hpp"

using namespace mosskeel;
using namespace mosskeel::test;
namespace fs = std::filesystem;

namespace {

using Journal = std::vector<std::string>;

/// Offset of a byte in the first frame of a segment, after its header.
constexpr size_t kInFirstFrame = kFrameHeaderBytes + 2;

/// The records of `write_segment_without_sync_marks`.
std::string old_records() {
  return frame("old 0") + frame("old 1") + frame("old 2");
}

std::string read_file(const std::string& path) {
  std::string content(fs::file_size(path), '\0');
  std::ifstream(path, std::ios::binary).read(content.data(), static_cast<std::streamsize>(content.size()));
  return content;
}

bool opens(const DataFolder& folder) {
  return Disk::open(folder.path, kNewIdentity).ok();
}

}  // namespace

TEST_CASE("Disk recovers what was synced, under the same identity") {
  DataFolder folder;
  append_records(folder, 3);
  append_records(folder, 2, 3);

  auto disk = folder.open();

  CHECK(disk->recovered().incarnation == Incarnation{kNewIdentity});
  CHECK(disk->recovered().journal.size() == 5);
  CHECK(disk->recovered().journal.back() == "record 4");
}

TEST_CASE("Disk truncates a torn tail and appends after what is left") {
  // Truncates the last record, a frame of 20 bytes, within its text, its checksum and its size.
  for (size_t torn_bytes : {1, 5, 11, 13, 18}) {
    INFO("torn bytes " << torn_bytes);
    DataFolder folder;
    append_records(folder, 2);
    REQUIRE(folder.open()->append({"record 2"}));
    auto segment = folder.last_file("log-");
    fs::resize_file(segment, fs::file_size(segment) - torn_bytes);

    append_records(folder, 1, 9);

    auto disk = folder.open();
    REQUIRE(disk->recovered().journal.size() == 3);
    CHECK(disk->recovered().journal[1] == "record 1");
    CHECK(disk->recovered().journal[2] == "record 9");
  }
}

TEST_CASE("Disk does not open a log that is damaged before its end, and reports the offset") {
  DataFolder folder;
  append_records(folder, 3);
  damage_byte(folder.last_file("log-"), kInFirstFrame);

  auto disk = Disk::open(folder.path, kNewIdentity);

  REQUIRE_FALSE(disk.ok());
  CHECK(to_string(disk.errors()).find("is damaged at byte 0") != std::string::npos);
}

namespace {

/// Writes three records, a checkpoint that replaces them, and a record after it.
void write_checkpoint_and_record(const DataFolder& folder) {
  append_records(folder, 3);
  auto disk = folder.open();
  REQUIRE(disk->checkpoint("all so far"));
  REQUIRE(disk->append({"later"}));
  REQUIRE(disk->sync());
}

}  // namespace

TEST_CASE("Disk recovers a checkpoint in place of the records before it") {
  DataFolder folder;
  write_checkpoint_and_record(folder);

  auto disk = folder.open();

  CHECK(disk->recovered().checkpoint == "all so far");
  CHECK(disk->recovered().journal == Journal{"later"});
}

TEST_CASE("Disk does not open with a damaged checkpoint") {
  constexpr size_t kTruncatedSize = 5;
  DataFolder folder;
  write_checkpoint_and_record(folder);
  folder.open();

  fs::resize_file(folder.last_file("checkpoint-"), kTruncatedSize);

  CHECK_FALSE(opens(folder));
}

TEST_CASE("Disk does not open a folder that another daemon has locked") {
  DataFolder folder;
  auto disk = folder.open();

  CHECK_FALSE(opens(folder));
}

TEST_CASE("Disk does not open a folder that lacks a segment") {
  DataFolder folder;
  auto disk = folder.open();
  std::string segment_filling(kSegmentBytes, 'x');
  for (int i = 0; i < 4; ++i)
    REQUIRE(disk->append({segment_filling}));
  REQUIRE(disk->sync());
  disk.reset();
  auto segments = folder.files("log-");
  REQUIRE(segments.size() >= 3);

  fs::remove(segments[1]);

  CHECK_FALSE(opens(folder));
}

namespace {

/// Two synced records, followed by three unsynced ones, of which the first is damaged.
struct HoleInUnsyncedRecords {
  DataFolder folder;
  std::string segment;
  size_t synced_size = 0;

  HoleInUnsyncedRecords() {
    append_records(folder, 2);
    segment = folder.last_file("log-");
    synced_size = fs::file_size(segment);
    append_unsynced({"lost", "there", "there too"});
    constexpr size_t kInText = kFrameHeaderBytes + 1;
    damage_byte(segment, synced_size + kInText);
  }

 private:
  void append_unsynced(const Journal& records) {
    auto disk = folder.open();
    for (const auto& record : records)
      REQUIRE(disk->append({record}));
  }
};

}  // namespace

TEST_CASE("Disk truncates unsynced records from the first damaged one on") {
  HoleInUnsyncedRecords hole;

  CHECK(hole.folder.open()->recovered().journal == Journal{"record 0", "record 1"});
  CHECK(fs::file_size(hole.segment) == hole.synced_size);
}

TEST_CASE("Disk appends at the offset where it has truncated unsynced records") {
  HoleInUnsyncedRecords hole;
  hole.folder.open();

  append_records(hole.folder, 1, 2);

  auto disk = hole.folder.open();
  CHECK(disk->truncated_bytes() == 0);
  CHECK(disk->recovered().journal == Journal{"record 0", "record 1", "record 2"});
}

TEST_CASE("Disk does not open with any damaged record that a sync mark covers") {
  for (int number : {0, 1, 2}) {
    INFO("damaged record " << number);
    DataFolder folder;
    append_records(folder, 2);
    append_records(folder, 1, 2);
    auto segment = folder.last_file("log-");
    damage_byte(segment, read_file(segment).find(numbered_record(number)));

    auto disk = Disk::open(folder.path, kNewIdentity);

    REQUIRE_FALSE(disk.ok());
    CHECK(to_string(disk.errors()).find("is damaged at byte") != std::string::npos);
  }
}

namespace {

/// Writes a segment as by versions without sync marks: three records and a torn tail. Returns its path.
std::string write_segment_without_sync_marks(const DataFolder& folder) {
  append_records(folder, 1);
  auto segment = folder.last_file("log-");
  std::ofstream(segment, std::ios::binary) << old_records() << "torn";
  return segment;
}

}  // namespace

TEST_CASE("Disk truncates the torn tail of a segment without sync marks, and appends to a new segment") {
  DataFolder folder;
  auto old_segment = write_segment_without_sync_marks(folder);

  append_records(folder, 1, 3);

  CHECK(folder.last_file("log-") != old_segment);
  CHECK(fs::file_size(old_segment) == old_records().size());
  CHECK(folder.open()->recovered().journal == Journal{"old 0", "old 1", "old 2", "record 3"});
}

TEST_CASE("Disk does not open a segment without sync marks that is damaged before its end") {
  DataFolder folder;
  auto old_segment = write_segment_without_sync_marks(folder);
  append_records(folder, 1, 3);
  REQUIRE(folder.last_file("log-") != old_segment);
  fs::remove(folder.last_file("log-"));

  damage_byte(old_segment, kInFirstFrame);

  CHECK_FALSE(opens(folder));
}

namespace {

/// Appends a record of 1,000 bytes with less free space than that: none, within the header, up to its end, within the
/// text.
void check_short_writes_are_rolled_back(Disk& disk, SmallDisk& small_disk) {
  auto used_before = small_disk.used();
  for (size_t free_bytes : {0, 1, 11, 12, 500}) {
    INFO("free bytes " << free_bytes);
    small_disk.size = used_before + free_bytes;
    CHECK(disk.append({std::string(1000, 'x')}) == DiskResult{DiskResult::full});
    CHECK(small_disk.used() == used_before);
  }
}

/// Appends a record, attempts others without free space, and appends one more once there is space for it.
void append_around_short_writes(const DataFolder& folder, SmallDisk& small_disk) {
  auto disk = folder.open(small_disk.calls());
  REQUIRE(disk->append({"one"}));
  REQUIRE(disk->sync());
  auto used_before = small_disk.used();
  check_short_writes_are_rolled_back(*disk, small_disk);
  small_disk.size = used_before + 200;
  REQUIRE(disk->append({"two"}));
  REQUIRE(disk->sync());
}

}  // namespace

TEST_CASE("Disk rolls a short write back, and appends once there is free space") {
  DataFolder folder;
  SmallDisk small_disk{folder};

  append_around_short_writes(folder, small_disk);
  small_disk.set_free_bytes(0);

  auto disk = folder.open(small_disk.calls());
  CHECK(disk->truncated_bytes() == 0);
  CHECK(disk->recovered().journal == Journal{"one", "two"});
}

TEST_CASE("Disk opens while it is full, and rejects records") {
  DataFolder folder;
  SmallDisk small_disk{folder};
  append_around_short_writes(folder, small_disk);
  small_disk.set_free_bytes(0);

  auto disk = folder.open(small_disk.calls());

  CHECK(disk->append({"three"}) == DiskResult{DiskResult::full});
}
