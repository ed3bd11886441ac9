// What a start finds in a data folder: synced records, torn tails, damage, and the state behind a short write.
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

/// Bytes; an offset in the first frame of a segment, behind its header.
constexpr size_t kInFirstFrame = kFrameHeaderBytes + 2;

std::string read_file(const std::string& path) {
  std::string content(fs::file_size(path), '\0');
  std::ifstream(path, std::ios::binary).read(content.data(), static_cast<std::streamsize>(content.size()));
  return content;
}

bool opens(const DataFolder& folder) {
  return Disk::open(folder.path, kNewIdentity).ok();
}

}  // namespace

TEST_CASE("Disk finds what was synced again, under the same identity") {
  DataFolder folder;
  append_records(folder, 3);
  append_records(folder, 2, 3);

  auto disk = folder.open();

  CHECK(disk->recovered().incarnation == Incarnation{kNewIdentity});
  CHECK(disk->recovered().journal.size() == 5);
  CHECK(disk->recovered().journal.back() == "record 4");
}

TEST_CASE("Disk cuts a torn tail off and appends behind what is left") {
  // Of the last record's 20 bytes: parts of its text, of its checksum and of its size.
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

TEST_CASE("Disk does not open a log that is damaged before its end, and says where") {
  DataFolder folder;
  append_records(folder, 3);
  damage_byte(folder.last_file("log-"), kInFirstFrame);

  auto disk = Disk::open(folder.path, kNewIdentity);

  REQUIRE_FALSE(disk.ok());
  CHECK(to_string(disk.errors()).find("is damaged at byte 0") != std::string::npos);
}

TEST_CASE("Disk finds a checkpoint in place of the records before it, and does not open with a damaged one") {
  DataFolder folder;
  append_records(folder, 3);
  {
    auto disk = folder.open();
    REQUIRE(disk->checkpoint("all so far"));
    REQUIRE(disk->append({"later"}));
    REQUIRE(disk->sync());
  }

  {
    auto disk = folder.open();
    CHECK(disk->recovered().checkpoint == "all so far");
    CHECK(disk->recovered().journal == Journal{"later"});
  }

  constexpr size_t truncated_size = 5;
  fs::resize_file(folder.last_file("checkpoint-"), truncated_size);
  CHECK_FALSE(opens(folder));
}

TEST_CASE("Disk does not open a folder that another daemon holds, or one that lacks a segment") {
  DataFolder folder;
  auto disk = folder.open();
  CHECK_FALSE(opens(folder));

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

TEST_CASE("Disk cuts off a hole in what was not synced, with all behind it, and appends there") {
  DataFolder folder;
  append_records(folder, 2);
  auto segment = folder.last_file("log-");
  auto synced_size = fs::file_size(segment);
  {
    auto disk = folder.open();
    for (const auto* record : {"lost", "there", "there too"})
      REQUIRE(disk->append({record}));
  }
  constexpr size_t in_text = kFrameHeaderBytes + 1;
  damage_byte(segment, synced_size + in_text);

  CHECK(folder.open()->recovered().journal == Journal{"record 0", "record 1"});
  CHECK(fs::file_size(segment) == synced_size);

  append_records(folder, 1, 2);
  auto disk = folder.open();
  CHECK(disk->truncated_bytes() == 0);
  CHECK(disk->recovered().journal == Journal{"record 0", "record 1", "record 2"});
}

TEST_CASE("Disk does not open with damage before a sync mark that covers it, wherever that is") {
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

TEST_CASE("Disk opens a segment without sync marks by the rules of its time, and appends in a new one") {
  DataFolder folder;
  append_records(folder, 1);
  auto old_segment = folder.last_file("log-");
  auto old_records = frame("old 0") + frame("old 1") + frame("old 2");
  std::ofstream(old_segment, std::ios::binary) << old_records << "torn";

  append_records(folder, 1, 3);

  CHECK(folder.last_file("log-") != old_segment);
  CHECK(fs::file_size(old_segment) == old_records.size());
  CHECK(folder.open()->recovered().journal == Journal{"old 0", "old 1", "old 2", "record 3"});

  fs::remove(folder.last_file("log-"));
  damage_byte(old_segment, kInFirstFrame);
  CHECK_FALSE(opens(folder));
}

TEST_CASE("Disk takes a short write back to whole records, and writes behind them what has room") {
  DataFolder folder;
  SmallDisk small_disk{folder};
  {
    auto disk = folder.open(small_disk.calls());
    REQUIRE(disk->append({"one"}));
    REQUIRE(disk->sync());
    auto used_before = small_disk.used();
    // In nothing, the header, at the header's end and in the text.
    for (size_t room : {0, 1, 11, 12, 500}) {
      INFO("room " << room);
      small_disk.size = used_before + room;
      CHECK(disk->append({std::string(1000, 'x')}) == DiskResult{DiskResult::full});
      CHECK(small_disk.used() == used_before);
    }
    small_disk.size = used_before + 200;
    REQUIRE(disk->append({"two"}));
    REQUIRE(disk->sync());
  }
  small_disk.set_room(0);

  auto disk = folder.open(small_disk.calls());

  CHECK(disk->truncated_bytes() == 0);
  CHECK(disk->recovered().journal == Journal{"one", "two"});
  CHECK(disk->append({"three"}) == DiskResult{DiskResult::full});
}
