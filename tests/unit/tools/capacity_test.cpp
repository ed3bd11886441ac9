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

scale::Plan small_plan() {
  scale::Plan plan;
  plan.daemons = 10;
  plan.replicas = 4;
  plan.paths = 2;
  plan.cells = 4;
  return plan;
}

/// The log of a fleet at rest, to which so many entries were added that each apply a configuration of so many cells.
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

TEST_CASE("The capacity page's counts are what the simulated fleet counts") {
  auto page = read_file(SOURCE_DIR "/docs/CAPACITY.md");
  for (int daemons : {10, 40, 100}) {
    auto row = scale::capacity_page_row(daemons, 1);
    INFO(row);
    CHECK(page.find(row) != std::string::npos);
  }
}

TEST_CASE("A daemon that hears the core sends no heartbeat to other daemons") {
  SimulatedFleet fleet(small_plan(), 1);
  fleet.run(scale::kSettlingTime);
  REQUIRE(fleet.all_gateways_ready());
  fleet.reset_counters();
  fleet.run(3000ms);
  CHECK(fleet.sum(ProcessKind::agent).received["heartbeat"].messages == 0);
  CHECK(fleet.sum(ProcessKind::store).received["heartbeat"].messages == 0);
  CHECK(fleet.failures.empty());
}

TEST_CASE("Without the core all daemons are sent heartbeats, and fronts go on serving") {
  SimulatedFleet fleet(small_plan(), 1);
  fleet.run(scale::kSettlingTime);
  fleet.run(3000ms);
  REQUIRE(fleet.all_gateways_ready());
  fleet.reset_counters();
  for (auto index : fleet.indices_of(ProcessKind::controller))
    fleet.stop(index);
  for (int look = 0; look < 40; ++look) {
    fleet.run(100ms);
    CHECK(fleet.all_gateways_ready());
  }
  CHECK(fleet.sum(ProcessKind::agent).received["heartbeat"].messages > 0);
  CHECK(fleet.failures.empty());
}

TEST_CASE("A lagging daemon gets the entries that it lacks while they are small") {
  auto log = log_with_configurations(100, 4);
  auto [snapshot, entries] = log.updates_since(epochs_before(log.epoch(), 100));
  CHECK_FALSE(snapshot);
  CHECK(entries.size() == 100);
}

TEST_CASE("A lagging daemon gets a snapshot where the entries that it lacks are too large to be kept") {
  constexpr int cells = 8000;
  constexpr int changes = 5;
  auto log = log_with_configurations(changes, cells);
  auto entry_bytes = codec::encode(log.recent_entries().back()).size();
  REQUIRE(entry_bytes * changes > kLogBytesKept);
  CHECK(entry_bytes * log.recent_entries().size() <= kLogBytesKept);

  auto [snapshot, entries] = log.updates_since(epochs_before(log.epoch(), changes));
  REQUIRE(snapshot);
  CHECK(snapshot->epoch == log.epoch());
  CHECK(entries.empty());

  auto [no_snapshot, last_entries] = log.updates_since(epochs_before(log.epoch(), 1));
  CHECK_FALSE(no_snapshot);
  CHECK(last_entries.size() == 1);
}
