// What the simulated fleet of tools/scale counts, against the capacity page and the bounds that it rests on.
#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "replication/constants.hpp"
#include "scale/experiments.hpp"
#include "scale/field.hpp"

using namespace mosskeel;

namespace {

scale::Plan small_plan() {
  scale::Plan plan;
  plan.daemons = 10;
  plan.replicas = 4;
  plan.paths = 2;
  plan.cells = 4;
  return plan;
}

/// A log at epoch 1 with entries that each apply a configuration of so many cells.
MetadataLog log_with_changes(int changes, int cells) {
  auto plan = small_plan();
  MetadataLog log;
  log.install_snapshot(scale::rest(plan, scale::seats(plan, 1)));
  plan.cells = cells;
  for (int i = 0; i < changes; ++i) {
    ApplyConfiguration change{log.view()->revision, scale::configuration(plan), {}};
    log.add({next(log.epoch()), "", change});
  }
  return log;
}

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  REQUIRE(file);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

TEST_CASE("The capacity page's counts are those of the simulated fleet") {
  auto page = read_file(SOURCE_DIR "/docs/CAPACITY.md");

  for (int daemons : {10, 40, 100}) {
    auto row = scale::page_row(daemons, 1);
    INFO(row);
    CHECK(page.find(row) != std::string::npos);
  }
}

TEST_CASE("A daemon in contact with the core sends heartbeats to no other; without the core all stay in contact") {
  scale::Field fleet(small_plan(), 1);
  auto heartbeats_received = [&](scale::Part part) {
    return fleet.sum(part).in["heartbeat"].count;
  };
  fleet.run(4000);
  REQUIRE(fleet.fronts_in_touch());
  fleet.forget();

  fleet.run(3000);
  CHECK(heartbeats_received(scale::Part::agent) == 0);
  CHECK(heartbeats_received(scale::Part::store) == 0);

  for (auto controller : fleet.all(scale::Part::controller))
    fleet.stop(controller);
  for (int step = 0; step < 40; ++step) {
    fleet.run(100);
    CHECK(fleet.fronts_in_touch());
  }
  CHECK(heartbeats_received(scale::Part::agent) > 0);
  CHECK(fleet.failures.empty());
}

TEST_CASE("A lagging daemon gets entries while they are small, and a snapshot beyond that") {
  auto small_log = log_with_changes(100, 4);
  auto [no_snapshot, entries] = small_log.updates_since(Epoch{small_log.epoch().value() - 100});
  CHECK_FALSE(no_snapshot);
  CHECK(entries.size() == 100);

  constexpr int kCells = 8000;
  constexpr int kChanges = 5;
  auto large_log = log_with_changes(kChanges, kCells);
  auto& recent = large_log.recent_entries();
  auto entry_bytes = codec::pack(recent.back()).size();
  REQUIRE(entry_bytes * kChanges > kLogBytesKept);
  CHECK(entry_bytes * recent.size() <= kLogBytesKept);
  auto [snapshot, no_entries] = large_log.updates_since(Epoch{large_log.epoch().value() - kChanges});
  REQUIRE(snapshot);
  CHECK(snapshot->epoch == large_log.epoch());
  CHECK(no_entries.empty());
  auto [none, last_entry] = large_log.updates_since(Epoch{large_log.epoch().value() - 1});
  CHECK_FALSE(none);
  CHECK(last_entry.size() == 1);
}
