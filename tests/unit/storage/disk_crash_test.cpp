// A kill or a loss of power between any two changes on disk: what was acknowledged is there, nothing else is.
#include "unit/storage/crash_disk.hpp"

using namespace mosskeel;

namespace {

constexpr int record_count = 12;
constexpr int checkpoint_each = 4;
constexpr size_t subset_bits = 8;  // changes of names enumerated in all subsets; more are drawn at random
constexpr int random_subsets = 64;

/// Records are their numbers, a checkpoint is how many records it stands for.
struct Progress {
  int appended = 0, acknowledged = 0;
};

std::string record(int n) {
  // Of different lengths, so that no two lie at like offsets.
  return "record " + std::to_string(n) + std::string(static_cast<size_t>(n % 5) * 7, '.');
}

/// How many records a start finds; fails where they are not the first ones in order.
int found(const Disk& d) {
  auto& r = d.recovered();
  int n = r.checkpoint ? std::stoi(*r.checkpoint) : 0;
  for (auto& x : r.journal) {
    REQUIRE(x == record(n));
    ++n;
  }
  return n;
}

/// Opens the folder and writes until all records are there, with a checkpoint now and then, each synced.
/// A kill must leave as the exception that it is, so no call stands inside an assertion.
void work(const Folder& f, const DiskCalls& calls, Progress& p) {
  auto must = [](DiskResult r) {
    REQUIRE(r);
  };
  auto opened = Disk::open(f.path, 42, calls);
  INFO((opened.ok() ? "" : to_string(opened.errors())));
  REQUIRE(opened.ok());
  auto d = opened.value();
  int have = found(*d);
  REQUIRE(have >= p.acknowledged);
  REQUIRE(have <= p.appended);
  p.acknowledged = have;
  for (int n = have; n < record_count; ++n) {
    p.appended = std::max(p.appended, n + 1);
    must(d->append({record(n)}));
    if (n % 3 == 1)
      continue;
    must(d->sync());
    p.acknowledged = n + 1;
    if ((n + 1) % checkpoint_each == 0)
      must(d->checkpoint(std::to_string(n + 1)));
  }
  // Twice without a record between, as when a full disk asks for one after the other.
  must(d->checkpoint(std::to_string(record_count)));
  must(d->checkpoint(std::to_string(record_count)));
  p.acknowledged = record_count;
}

void start_after(const CrashDisk::Files& files, Progress p) {
  Folder f;
  for (auto& [n, content] : files)
    std::ofstream(f.path + "/" + n, std::ios::binary) << content;
  work(f, DiskCalls::real(), p);
}

/// Every subset of the unsynced names (or many), each with no, all and some of the unsynced writes.
size_t lose_power(const CrashDisk& disk, Progress p, std::mt19937_64& random) {
  auto none = [](size_t) {
    return size_t{0};
  };
  auto all = [](size_t n) {
    return n;
  };
  auto some = [&](size_t n) {
    return random() % 3 == 0 ? 0 : random() % 2 ? n : random() % (n + 1);
  };
  auto names = disk.unsynced_names();
  bool few = names <= subset_bits;
  uint64_t subsets = few ? uint64_t{1} << names : random_subsets;
  size_t played = 0;
  for (uint64_t i = 0; i < subsets; ++i) {
    auto kept = few ? i : random();
    start_after(disk.after_power_loss(kept, none), p);
    start_after(disk.after_power_loss(kept, all), p);
    start_after(disk.after_power_loss(kept, some), p);
    played += 3;
  }
  return played;
}

long changes_of_a_whole_run() {
  CrashDisk disk;
  Progress p;
  work(disk.folder(), disk.calls(), p);
  return disk.changes();
}

/// Runs until the given change and dies there.
void run_until(CrashDisk& disk, Progress& p) {
  try {
    work(disk.folder(), disk.calls(), p);
  } catch (const ProcessKilled&) {}
}

}  // namespace

TEST_CASE("power lost between any two changes on disk loses no synced record, whichever names are kept") {
  std::mt19937_64 random(1);
  auto last = changes_of_a_whole_run();
  size_t played = 0;
  for (long at = 0; at <= last; ++at) {
    CrashDisk disk(at);
    Progress p;
    run_until(disk, p);
    INFO("after change " << at << " of " << last);
    played += lose_power(disk, p, random);
  }
  CHECK(played > 500);
}

TEST_CASE("a process killed between any two changes starts again, and power lost after that loses nothing") {
  std::mt19937_64 random(2);
  auto last = changes_of_a_whole_run();
  for (long at = 0; at <= last; ++at) {
    CrashDisk disk(at);
    Progress p;
    run_until(disk, p);
    INFO("killed after change " << at << " of " << last);
    disk.never_kill();
    {
      auto d = Disk::open(disk.folder().path, 42, disk.calls()).value();
      int have = found(*d);
      REQUIRE(have >= p.acknowledged);
      REQUIRE(have <= p.appended);
      // What a start found is answered for from then on.
      p.acknowledged = have;
    }
    lose_power(disk, p, random);
  }
}

TEST_CASE("the identity that a daemon has used outlives a loss of power after a kill") {
  std::mt19937_64 random(3);
  auto last = changes_of_a_whole_run();
  for (long at = 0; at <= last; ++at) {
    CrashDisk disk(at);
    Progress p;
    run_until(disk, p);
    disk.never_kill();
    auto used = Disk::open(disk.folder().path, 77, disk.calls()).value()->recovered().incarnation;
    for (uint64_t kept = 0; kept < uint64_t{1} << std::min(disk.unsynced_names(), subset_bits); ++kept) {
      auto files = disk.after_power_loss(kept, [](size_t) { return size_t{0}; });
      REQUIRE(files.count("identity") == 1);
      CHECK(files["identity"] == hex(used.value()));
    }
  }
}

TEST_CASE("the recording disk notices a folder that is never synced") {
  CrashDisk disk;
  Progress p;
  auto calls = disk.calls();
  calls.sync_folder = [](const char*) {
    return 0;
  };
  work(disk.folder(), calls, p);
  auto files = disk.after_power_loss(0, [](size_t n) { return n; });
  CHECK(files.empty());
}
