// What JournalWriter writes and lets leave while its disk is full, and what is found afterwards.
#include "storage/journal_writer.hpp"

#include <cerrno>

#include "unit/storage/small_disk.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

namespace {

using Ids = std::vector<uint64_t>;
using Events = std::vector<Event>;
using Journal = std::vector<std::string>;

constexpr DiskResult kDone{};
constexpr DiskResult kFull{DiskResult::full};
constexpr DiskResult kFailed{DiskResult::failed};

/// Bytes; more than any test writes.
constexpr size_t kAmpleDisk = size_t{1} << 30;

Batch records(std::vector<std::string> journal) {
  Batch batch;
  batch.journal = std::move(journal);
  return batch;
}

/// Records, and a message with this id that may leave behind them.
Batch records_and_message(std::vector<std::string> journal, uint64_t message_id) {
  Batch batch = records(std::move(journal));
  Envelope message{};
  message.id = message_id;
  batch.sends.push_back(std::move(message));
  return batch;
}

Batch checkpoint(std::string bytes) {
  Batch batch;
  batch.checkpoint = std::move(bytes);
  return batch;
}

/// The ids of the messages that may leave.
Ids sent_ids(const JournalWriter::Written& written) {
  Ids ids;
  for (const auto& message : written.sends)
    ids.push_back(message.id);
  return ids;
}

Events logged_events(const JournalWriter::Written& written) {
  Events events;
  for (const auto& note : written.notes)
    events.push_back(note.event);
  return events;
}

/// A writer on a disk that may be full.
struct WriterFixture {
  DataFolder folder;
  SmallDisk small_disk;
  std::shared_ptr<Disk> disk;
  JournalWriter writer;

  explicit WriterFixture(size_t disk_size = kAmpleDisk, size_t max_pending_bytes = kMaxPendingJournalBytes)
      : small_disk(folder, disk_size), disk(folder.open(small_disk.calls())), writer(*disk, max_pending_bytes) {}

  /// What the next start finds; the writer may not be used after that.
  Recovered recover_after_restart(DiskCalls calls = DiskCalls::real()) {
    disk.reset();
    return folder.open(std::move(calls))->recovered();
  }
};

}  // namespace

TEST_CASE("JournalWriter writes again what a sync without room has taken back, and fails on a broken disk") {
  WriterFixture fixture;
  auto& writer = fixture.writer;
  REQUIRE(writer.write({records_and_message({"one"}, 1)}).result == kDone);

  fixture.small_disk.sync_error = ENOSPC;
  CHECK(writer.write({records_and_message({"two"}, 2), records_and_message({"three"}, 3)}).result == kFull);

  fixture.small_disk.sync_error = 0;
  CHECK(sent_ids(writer.write({records_and_message({"four"}, 4)})) == Ids{4});

  fixture.small_disk.write_error = EIO;
  auto broken = writer.write({records_and_message({"five"}, 5)});
  CHECK(broken.result == kFailed);
  CHECK(sent_ids(broken).empty());

  fixture.small_disk.write_error = 0;
  CHECK(fixture.recover_after_restart().journal == Journal{"one", "two", "three", "four"});
}

TEST_CASE("JournalWriter lets no message leave while the disk is full, and writes all in order once there is room") {
  WriterFixture fixture;
  auto& writer = fixture.writer;
  CHECK(sent_ids(writer.write({records_and_message({"one"}, 1)})) == Ids{1});

  fixture.small_disk.set_room(0);
  auto first_on_full_disk = writer.write({records_and_message({"two"}, 2), records_and_message({}, 3)});
  CHECK(first_on_full_disk.result == kFull);
  CHECK(sent_ids(first_on_full_disk).empty());
  CHECK(logged_events(first_on_full_disk) == Events{Event::disk_full});
  auto next_on_full_disk = writer.write({records_and_message({}, 4)});
  CHECK(sent_ids(next_on_full_disk).empty());
  CHECK(logged_events(next_on_full_disk).empty());
  CHECK(sent_ids(writer.write({records_and_message({"three", "four"}, 5)})).empty());
  CHECK(writer.full());
  // "two", "three" and "four".
  CHECK(writer.pending_bytes() == 12);

  fixture.small_disk.size += 1000;
  auto with_room = writer.write({records_and_message({"five"}, 6)});
  CHECK(with_room.result == kDone);
  CHECK(sent_ids(with_room) == Ids{6});
  CHECK(logged_events(with_room) == Events{Event::disk_room});
  CHECK_FALSE(writer.full());
  CHECK(writer.pending_bytes() == 0);

  CHECK(fixture.recover_after_restart().journal == Journal{"one", "two", "three", "four", "five"});
}

TEST_CASE("JournalWriter writes the batches that fit, and fails where too much is pending") {
  constexpr size_t max_pending_bytes = 3000;
  WriterFixture fixture(kAmpleDisk, max_pending_bytes);
  auto& writer = fixture.writer;
  REQUIRE(writer.write({records({"one"})}).result == kDone);
  fixture.small_disk.set_room(200);

  CHECK(writer.write({records({"two"}), records({std::string(2500, 'x')})}).result == kFull);
  CHECK(writer.pending_bytes() == 2500);
  auto beyond_limit = writer.write({records_and_message({std::string(600, 'x')}, 1)});
  CHECK(beyond_limit.result == kFailed);
  CHECK(sent_ids(beyond_limit).empty());

  CHECK(fixture.recover_after_restart().journal == Journal{"one", "two"});
}

TEST_CASE("JournalWriter clears a full disk with a checkpoint that has room in the reserve") {
  WriterFixture fixture;
  auto& writer = fixture.writer;
  CHECK_FALSE(writer.wants_checkpoint(TimePoint{1ms}));
  for (int i = 0; i < 8; ++i)
    REQUIRE(writer.write({records({std::string(100000, 'x')})}).result == kDone);
  fixture.small_disk.set_room(0);
  REQUIRE(writer.write({records_and_message({"held"}, 1)}).result == kFull);
  CHECK(writer.wants_checkpoint(TimePoint{1ms}));
  CHECK_FALSE(writer.wants_checkpoint(TimePoint{kFullDiskCheckpointInterval}));

  auto with_large_checkpoint = writer.write({checkpoint(std::string(900000, 'y'))});
  CHECK(with_large_checkpoint.result == kFull);
  CHECK(writer.unwritten_checkpoints() == 1);

  std::string small_checkpoint(300000, 'y');
  auto with_small_checkpoint = writer.write({checkpoint(small_checkpoint), records_and_message({"later"}, 2)});
  CHECK(with_small_checkpoint.result == kDone);
  CHECK(sent_ids(with_small_checkpoint) == Ids{2});
  CHECK(logged_events(with_small_checkpoint) == Events{Event::checkpointed, Event::disk_room});
  CHECK_FALSE(writer.wants_checkpoint(TimePoint{kFullDiskCheckpointInterval * 3}));

  auto recovered = fixture.recover_after_restart(fixture.small_disk.calls());
  CHECK(recovered.checkpoint == small_checkpoint);
  CHECK(recovered.journal == Journal{"later"});
}

TEST_CASE("JournalWriter leaves the log as it is where a checkpoint has no room") {
  // Too small for a reserve.
  WriterFixture fixture(kDiskReserveBytes * 2);
  auto& writer = fixture.writer;
  CHECK(fixture.folder.last_file("reserve").empty());
  std::string large_record(5000, 'x');
  REQUIRE(writer.write({records({large_record})}).result == kDone);
  fixture.small_disk.set_room(1000);

  Batch batch = records_and_message({"one"}, 1);
  batch.checkpoint = std::string(3000, 'y');
  auto written = writer.write({batch});

  CHECK(written.result == kDone);
  CHECK(sent_ids(written) == Ids{1});
  CHECK(writer.wants_checkpoint(TimePoint{1ms}));
  CHECK(fixture.folder.last_file("reserve").empty());
  auto recovered = fixture.recover_after_restart(fixture.small_disk.calls());
  CHECK_FALSE(recovered.checkpoint);
  CHECK(recovered.journal == Journal{large_record, "one"});
}
