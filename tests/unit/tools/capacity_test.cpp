// The messages and bytes of a simulated fleet, which the capacity page counts.
#include <fstream>
#include <sstream>

#include "replication/constants.hpp"
#include "scale/experiments.hpp"
#include "scale/simulated_fleet.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;
using scale::ProcessKind;
using scale::SimulatedFleet;

namespace {

/// Changes whose entries are together larger than what the log keeps.
constexpr int kLargeChanges = 5;
constexpr int kCellsOfLargeChange = 8000;
/// For which all controllers are stopped.
constexpr Duration kOutage = 4000ms;

scale::Plan small_plan() {
  scale::Plan plan;
  plan.daemons = 10;
  plan.replicas = 4;
  plan.paths = 2;
  plan.cells = 4;
  return plan;
}

/// The log of a fleet at rest with this many further entries, each of which applies a configuration of `cells` cells.
MetadataLog log_with_configurations(int entries, int cells) {
  auto plan = small_plan();
  MetadataLog log;
  log.install_snapshot(scale::metadata_at_rest(plan, scale::fleet_processes(plan, 1)));
  plan.cells = cells;
  for (int number = 0; number < entries; ++number) {
    ApplyConfiguration change{
        .base = log.view()->revision, .configuration = scale::make_configuration(plan), .revision = Revision{}};
    log.add({.epoch = next(log.epoch()), .commit_id = "", .change = change});
  }
  return log;
}

Epoch epochs_before(Epoch epoch, uint64_t count) {
  return Epoch{epoch.value() - count};
}

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  REQUIRE(file);
  std::stringstream content;
  content << file.rdbuf();
  return content.str();
}

}  // namespace

TEST_CASE("The rows of the capacity page are those that the simulated fleet gives") {
  auto page = read_file(SOURCE_DIR "/docs/CAPACITY.md");
  for (int daemons : {10, 40, 100}) {
    auto row = scale::capacity_page_row(daemons, 1);
    INFO(row);
    CHECK(page.find(row) != std::string::npos);
  }
}

TEST_CASE("A daemon in contact with the core sends no heartbeat to other daemons") {
  SimulatedFleet fleet(small_plan(), 1);
  fleet.run(scale::kSettlingTime);
  REQUIRE(fleet.all_gateways_ready());
  fleet.reset_counters();
  fleet.run(3000ms);

  CHECK(fleet.sum(ProcessKind::agent).received["heartbeat"].messages == 0);
  CHECK(fleet.sum(ProcessKind::store).received["heartbeat"].messages == 0);
  CHECK(fleet.failures.empty());
}

TEST_CASE("Without the core daemons send each other heartbeats, and gateways go on serving") {
  SimulatedFleet fleet(small_plan(), 1);
  fleet.run(scale::kSettlingTime);
  fleet.run(3000ms);
  REQUIRE(fleet.all_gateways_ready());
  fleet.reset_counters();
  for (auto index : fleet.indices_of(ProcessKind::controller))
    fleet.stop(index);

  for (Duration elapsed{}; elapsed < kOutage; elapsed += 100ms) {
    fleet.run(100ms);
    CHECK(fleet.all_gateways_ready());
  }

  CHECK(fleet.sum(ProcessKind::agent).received["heartbeat"].messages > 0);
  CHECK(fleet.failures.empty());
}

TEST_CASE("A lagging daemon gets the entries that it lacks while they are small") {
  constexpr int kChanges = 100;
  auto log = log_with_configurations(kChanges, 4);

  auto [snapshot, entries] = log.updates_since(epochs_before(log.epoch(), kChanges));

  CHECK_FALSE(snapshot);
  CHECK(entries.size() == kChanges);
}

TEST_CASE("MetadataLog keeps no more bytes of entries than its bound") {
  auto log = log_with_configurations(kLargeChanges, kCellsOfLargeChange);
  auto entry_bytes = codec::encode(log.recent_entries().back()).size();
  REQUIRE(entry_bytes * kLargeChanges > kLogBytesKept);

  CHECK(entry_bytes * log.recent_entries().size() <= kLogBytesKept);
}

TEST_CASE("A lagging daemon gets a snapshot where the entries that it lacks are too large to be kept") {
  auto log = log_with_configurations(kLargeChanges, kCellsOfLargeChange);

  auto [snapshot, entries] = log.updates_since(epochs_before(log.epoch(), kLargeChanges));

  REQUIRE(snapshot);
  CHECK(snapshot->epoch == log.epoch());
  CHECK(entries.empty());
}

TEST_CASE("A daemon that lacks the last of several large entries gets that entry alone") {
  auto log = log_with_configurations(kLargeChanges, kCellsOfLargeChange);

  auto [snapshot, entries] = log.updates_since(epochs_before(log.epoch(), 1));

  CHECK_FALSE(snapshot);
  CHECK(entries.size() == 1);
}
