// Simulates a kill or a power loss between any two changes of the disk: every acknowledged record must be recovered,
// and nothing that was not written.
#include <fstream>
#include <random>

#include "unit/storage/crash_disk.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

namespace {

constexpr int kRecords = 12;
/// Number of records between two checkpoints.
constexpr int kCheckpointInterval = 4;
/// One of this many records is not followed by a sync of its own.
constexpr int kSyncCycle = 3;
/// Up to this many unsynced name changes, all subsets are simulated; beyond that, random subsets.
constexpr size_t kMaxEnumeratedNames = 8;
constexpr uint64_t kRandomSubsets = 64;

/// The number of records that the process under test has appended, and of those acknowledged as durable.
struct Progress {
  int appended = 0;
  int acknowledged = 0;
};

/// Records have different lengths, so that they are at irregular offsets.
std::string make_record(int number) {
  auto filling = static_cast<size_t>(number % 5) * 7;
  return "record " + std::to_string(number) + std::string(filling, '.');
}

/// The number of recovered records, which must be the first ones in order. The content of a checkpoint is the number of
/// records that it replaces.
int count_recovered(const Disk& disk) {
  const auto& recovered = disk.recovered();
  int count = recovered.checkpoint ? std::stoi(*recovered.checkpoint) : 0;
  for (const auto& record : recovered.journal) {
    REQUIRE(record == make_record(count));
    ++count;
  }
  return count;
}

/// Fails if an acknowledged record is missing or more records were recovered than were written.
void check_recovered(int recovered, const Progress& progress) {
  REQUIRE(recovered >= progress.acknowledged);
  REQUIRE(recovered <= progress.appended);
}

void require_done(DiskResult result) {
  REQUIRE(result);
}

/// Appends the records from `first` on, with a sync after most of them and periodic checkpoints. The disk is never
/// called inside an assertion, which would catch the exception that simulates a kill.
void append_from(Disk& disk, int first, Progress& progress) {
  for (int number = first; number < kRecords; ++number) {
    progress.appended = std::max(progress.appended, number + 1);
    auto appended = disk.append({make_record(number)});
    require_done(appended);
    if (number % kSyncCycle == 1)
      continue;
    auto synced = disk.sync();
    require_done(synced);
    progress.acknowledged = number + 1;
    if ((number + 1) % kCheckpointInterval == 0) {
      auto written = disk.checkpoint(std::to_string(number + 1));
      require_done(written);
    }
  }
}

/// Simulates a process on the folder: checks the recovered records and writes the remaining ones.
void run_process(const DataFolder& folder, const DiskCalls& calls, Progress& progress) {
  auto opened = Disk::open(folder.path, kNewIdentity, calls);
  INFO((opened.ok() ? "" : to_string(opened.errors())));
  REQUIRE(opened.ok());
  auto& disk = *opened.value();
  int recovered = count_recovered(disk);
  check_recovered(recovered, progress);
  progress.acknowledged = recovered;
  append_from(disk, recovered, progress);
  // Two checkpoints without a record in between, as a full disk can trigger them.
  for (int i = 0; i < 2; ++i) {
    auto written = disk.checkpoint(std::to_string(kRecords));
    require_done(written);
  }
  progress.acknowledged = kRecords;
}

/// Simulates a process until the disk kills it.
Progress run_until_killed(CrashDisk& disk) {
  Progress progress;
  try {
    run_process(disk.folder(), disk.calls(), progress);
  } catch (const ProcessKilled&) {}
  return progress;
}

/// Simulates a process on a folder with these files.
void run_on(const CrashDisk::Files& files, Progress progress) {
  DataFolder folder;
  for (const auto& [name, content] : files)
    std::ofstream(folder.path + "/" + name, std::ios::binary) << content;
  run_process(folder, DiskCalls::real(), progress);
}

size_t keep_none(size_t) {
  return 0;
}

size_t keep_all(size_t count) {
  return count;
}

/// Simulates a power loss followed by a start, for every subset or many random subsets of the unsynced names, each with
/// none, all and some of the unsynced writes.
/// @return the number of power losses simulated.
size_t simulate_power_losses(const CrashDisk& disk, const Progress& progress, std::mt19937_64& random) {
  auto keep_some = [&random](size_t count) -> size_t {
    if (random() % 3 == 0)
      return 0;
    return random() % 2 != 0 ? count : random() % (count + 1);
  };
  auto names = disk.unsynced_names();
  bool enumerates = names <= kMaxEnumeratedNames;
  uint64_t subsets = enumerates ? uint64_t{1} << names : kRandomSubsets;
  size_t simulated = 0;
  for (uint64_t i = 0; i < subsets; ++i) {
    auto kept_names = enumerates ? i : random();
    run_on(disk.after_power_loss(kept_names, keep_none), progress);
    run_on(disk.after_power_loss(kept_names, keep_all), progress);
    run_on(disk.after_power_loss(kept_names, keep_some), progress);
    simulated += 3;
  }
  return simulated;
}

/// The number of changes that a process makes if it is never killed.
long count_changes() {
  CrashDisk disk;
  Progress progress;
  run_process(disk.folder(), disk.calls(), progress);
  return disk.changes();
}

}  // namespace

TEST_CASE("Disk loses no synced record to a loss of power between any two changes, whichever names are kept") {
  std::mt19937_64 random(1);
  auto changes = count_changes();
  size_t simulated = 0;

  for (long change = 0; change <= changes; ++change) {
    INFO("after change " << change << " of " << changes);
    CrashDisk disk(change);
    auto progress = run_until_killed(disk);
    simulated += simulate_power_losses(disk, progress, random);
  }

  CHECK(simulated > 500);
}

TEST_CASE("Disk opens after a kill between any two changes, and loses nothing to a loss of power after that") {
  std::mt19937_64 random(2);
  auto changes = count_changes();

  for (long change = 0; change <= changes; ++change) {
    INFO("killed after change " << change << " of " << changes);
    CrashDisk disk(change);
    auto progress = run_until_killed(disk);
    disk.never_kill();
    {
      auto reopened = Disk::open(disk.folder().path, kNewIdentity, disk.calls()).value();
      int recovered = count_recovered(*reopened);
      REQUIRE(recovered >= progress.acknowledged);
      REQUIRE(recovered <= progress.appended);
      // Recovered records count as acknowledged from then on.
      progress.acknowledged = recovered;
    }
    simulate_power_losses(disk, progress, random);
  }
}

TEST_CASE("Disk keeps the identity that a daemon has used through a loss of power after a kill") {
  constexpr uint64_t other_identity = 77;
  auto changes = count_changes();

  for (long change = 0; change <= changes; ++change) {
    INFO("killed after change " << change << " of " << changes);
    CrashDisk disk(change);
    run_until_killed(disk);
    disk.never_kill();
    auto used = Disk::open(disk.folder().path, other_identity, disk.calls()).value()->recovered().incarnation;

    auto enumerated_names = std::min(disk.unsynced_names(), kMaxEnumeratedNames);
    for (uint64_t kept_names = 0; kept_names < uint64_t{1} << enumerated_names; ++kept_names) {
      auto files = disk.after_power_loss(kept_names, keep_none);
      REQUIRE(files.count("identity") == 1);
      CHECK(files["identity"] == hex(used.value()));
    }
  }
}

TEST_CASE("CrashDisk leaves no file of a folder that is never synced") {
  CrashDisk disk;
  auto calls = disk.calls();
  calls.sync_folder = [](const char*) {
    return 0;
  };
  Progress progress;
  run_process(disk.folder(), calls, progress);

  auto files = disk.after_power_loss(0, keep_all);

  CHECK(files.empty());
}
