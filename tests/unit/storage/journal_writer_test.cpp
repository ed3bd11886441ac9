// What JournalWriter writes and which messages it releases while its disk is full, and what a start recovers after
// that.
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

/// Records, and a message with this id that may be sent once they are synced.
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

/// The ids of the messages that were released.
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

  /// The data that the next start recovers. The writer must not be used after this call.
  Recovered recover_after_restart(DiskCalls calls = DiskCalls::real()) {
    disk.reset();
    return folder.open(std::move(calls))->recovered();
  }
};

}  // namespace

TEST_CASE("JournalWriter writes again what a sync on a full disk has rolled back") {
  WriterFixture fixture;
  auto& writer = fixture.writer;
  REQUIRE(writer.write({records_and_message({"one"}, 1)}).result == kDone);

  fixture.small_disk.sync_error = ENOSPC;
  CHECK(writer.write({records_and_message({"two"}, 2), records_and_message({"three"}, 3)}).result == kFull);

  fixture.small_disk.sync_error = 0;
  CHECK(sent_ids(writer.write({records_and_message({"four"}, 4)})) == Ids{4});
  CHECK(fixture.recover_after_restart().journal == Journal{"one", "two", "three", "four"});
}

TEST_CASE("JournalWriter fails on a broken disk, and releases no message") {
  WriterFixture fixture;
  auto& writer = fixture.writer;
  REQUIRE(writer.write({records_and_message({"four"}, 4)}).result == kDone);

  fixture.small_disk.write_error = EIO;
  auto broken = writer.write({records_and_message({"five"}, 5)});

  CHECK(broken.result == kFailed);
  CHECK(sent_ids(broken).empty());

  fixture.small_disk.write_error = 0;
  CHECK(fixture.recover_after_restart().journal == Journal{"four"});
}

namespace {

/// A writer that has written "one", and whose disk was full at the last write.
struct FullDiskFixture : WriterFixture {
  JournalWriter::Written first_on_full_disk;

  FullDiskFixture() {
    CHECK(sent_ids(writer.write({records_and_message({"one"}, 1)})) == Ids{1});
    small_disk.set_free_bytes(0);
    first_on_full_disk = writer.write({records_and_message({"two"}, 2), records_and_message({}, 3)});
  }
};

}  // namespace

TEST_CASE("JournalWriter releases no message while the disk is full, and logs that once") {
  FullDiskFixture fixture;
  auto& writer = fixture.writer;

  CHECK(fixture.first_on_full_disk.result == kFull);
  CHECK(sent_ids(fixture.first_on_full_disk).empty());
  CHECK(logged_events(fixture.first_on_full_disk) == Events{Event::disk_full});

  auto next_on_full_disk = writer.write({records_and_message({}, 4)});
  CHECK(sent_ids(next_on_full_disk).empty());
  CHECK(logged_events(next_on_full_disk).empty());
  CHECK(sent_ids(writer.write({records_and_message({"three", "four"}, 5)})).empty());

  CHECK(writer.full());
  CHECK(writer.pending_bytes() == std::string("two"
                                              "three"
                                              "four")
                                      .size());
}

TEST_CASE("JournalWriter writes all pending records in order once the disk has free space") {
  FullDiskFixture fixture;
  auto& writer = fixture.writer;
  writer.write({records_and_message({}, 4)});
  writer.write({records_and_message({"three", "four"}, 5)});
  REQUIRE(writer.full());

  fixture.small_disk.size += 1000;
  auto with_free_space = writer.write({records_and_message({"five"}, 6)});

  CHECK(with_free_space.result == kDone);
  CHECK(sent_ids(with_free_space) == Ids{6});
  CHECK(logged_events(with_free_space) == Events{Event::disk_room});
  CHECK_FALSE(writer.full());
  CHECK(writer.pending_bytes() == 0);
  CHECK(fixture.recover_after_restart().journal == Journal{"one", "two", "three", "four", "five"});
}

TEST_CASE("JournalWriter writes the batches for which the disk has space") {
  WriterFixture fixture;
  auto& writer = fixture.writer;
  REQUIRE(writer.write({records({"one"})}).result == kDone);
  fixture.small_disk.set_free_bytes(200);

  CHECK(writer.write({records({"two"}), records({std::string(2500, 'x')})}).result == kFull);

  CHECK(writer.pending_bytes() == 2500);
  CHECK(fixture.recover_after_restart().journal == Journal{"one", "two"});
}

TEST_CASE("JournalWriter fails if more bytes of records are pending than its limit") {
  constexpr size_t kMaxPendingBytes = 3000;
  WriterFixture fixture(kAmpleDisk, kMaxPendingBytes);
  auto& writer = fixture.writer;
  REQUIRE(writer.write({records({"one"})}).result == kDone);
  fixture.small_disk.set_free_bytes(200);
  REQUIRE(writer.write({records({"two"}), records({std::string(2500, 'x')})}).result == kFull);

  auto beyond_limit = writer.write({records_and_message({std::string(600, 'x')}, 1)});

  CHECK(beyond_limit.result == kFailed);
  CHECK(sent_ids(beyond_limit).empty());
  CHECK(fixture.recover_after_restart().journal == Journal{"one", "two"});
}

namespace {

/// A writer whose disk is full of records, with a reserve large enough for a small checkpoint.
struct FullOfRecordsFixture : WriterFixture {
  FullOfRecordsFixture() {
    CHECK_FALSE(writer.wants_checkpoint(TimePoint{1ms}));
    for (int i = 0; i < 8; ++i)
      REQUIRE(writer.write({records({std::string(100000, 'x')})}).result == kDone);
    small_disk.set_free_bytes(0);
    REQUIRE(writer.write({records_and_message({"pending"}, 1)}).result == kFull);
  }
};

/// Bytes; more than the reserve holds.
constexpr size_t kLargeCheckpoint = 900000;
constexpr size_t kSmallCheckpoint = 300000;

}  // namespace

TEST_CASE("JournalWriter requests a checkpoint while the disk is full, once per interval") {
  FullOfRecordsFixture fixture;

  CHECK(fixture.writer.wants_checkpoint(TimePoint{1ms}));
  CHECK_FALSE(fixture.writer.wants_checkpoint(TimePoint{kFullDiskCheckpointInterval}));
}

TEST_CASE("JournalWriter writes no checkpoint that does not fit into the reserve") {
  FullOfRecordsFixture fixture;

  auto written = fixture.writer.write({checkpoint(std::string(kLargeCheckpoint, 'y'))});

  CHECK(written.result == kFull);
  CHECK(fixture.writer.unwritten_checkpoints() == 1);
}

TEST_CASE("JournalWriter frees space on a full disk by a checkpoint that fits into the reserve") {
  FullOfRecordsFixture fixture;
  auto& writer = fixture.writer;
  REQUIRE(writer.write({checkpoint(std::string(kLargeCheckpoint, 'y'))}).result == kFull);
  std::string small_checkpoint(kSmallCheckpoint, 'y');

  auto written = writer.write({checkpoint(small_checkpoint), records_and_message({"later"}, 2)});

  CHECK(written.result == kDone);
  CHECK(sent_ids(written) == Ids{2});
  CHECK(logged_events(written) == Events{Event::checkpointed, Event::disk_room});
  CHECK_FALSE(writer.wants_checkpoint(TimePoint{kFullDiskCheckpointInterval * 3}));
  auto recovered = fixture.recover_after_restart(fixture.small_disk.calls());
  CHECK(recovered.checkpoint == small_checkpoint);
  CHECK(recovered.journal == Journal{"later"});
}

TEST_CASE("JournalWriter keeps the log if there is no space for a checkpoint") {
  constexpr size_t kTooSmallForReserve = kDiskReserveBytes * 2;
  WriterFixture fixture(kTooSmallForReserve);
  auto& writer = fixture.writer;
  CHECK(fixture.folder.last_file("reserve").empty());
  std::string large_record(5000, 'x');
  REQUIRE(writer.write({records({large_record})}).result == kDone);
  fixture.small_disk.set_free_bytes(1000);

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
