#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "replication/constants.hpp"
#include "scale/experiments.hpp"
#include "scale/field.hpp"

using namespace mosskeel;

namespace {

scale::Plan small() {
  scale::Plan p;
  p.daemons = 10, p.replicas = 4, p.paths = 2, p.cells = 4;
  return p;
}

/// A ledger at epoch 1 and entries that each apply a configuration of so many cells.
MetadataLog ledger(int changes, int cells) {
  auto p = small();
  MetadataLog l;
  auto seats = scale::seats(p, 1);
  l.install_snapshot(scale::rest(p, seats));
  p.cells = cells;
  for (int i = 0; i < changes; ++i)
    l.add({next(l.epoch()), "", ApplyConfiguration{l.view()->revision, scale::configuration(p), {}}});
  return l;
}

}  // namespace

TEST_CASE("the capacity page's counts are what the simulated fleet counts") {
  std::ifstream f(SOURCE_DIR "/docs/CAPACITY.md");
  std::stringstream s;
  s << f.rdbuf();
  REQUIRE(f);
  for (int n : {10, 40, 100}) {
    auto row = scale::page_row(n, 1);
    INFO(row);
    CHECK(s.str().find(row) != std::string::npos);
  }
}

TEST_CASE("a daemon that hears the core asks no other daemon; without the core all are asked and go on serving") {
  scale::Field f(small(), 1);
  f.run(4000);
  REQUIRE(f.fronts_in_touch());
  f.forget();
  f.run(3000);
  CHECK(f.sum(scale::Part::agent).in["heartbeat"].count == 0);
  CHECK(f.sum(scale::Part::store).in["heartbeat"].count == 0);
  for (auto i : f.all(scale::Part::controller))
    f.stop(i);
  for (int k = 0; k < 40; ++k) {
    f.run(100);
    CHECK(f.fronts_in_touch());
  }
  CHECK(f.sum(scale::Part::agent).in["heartbeat"].count > 0);
  CHECK(f.failures.empty());
}

TEST_CASE("what a laggard lacks comes as entries while they are small, else as the whole value") {
  auto few = ledger(100, 4);
  auto [none, entries] = few.updates_since(Epoch{few.epoch().value() - 100});
  CHECK_FALSE(none);
  CHECK(entries.size() == 100);
  const int cells = 8000, changes = 5;
  auto many = ledger(changes, cells);
  auto bytes = codec::pack(many.recent_entries().back()).size();
  REQUIRE(bytes * changes > kLogBytesKept);
  CHECK(bytes * many.recent_entries().size() <= kLogBytesKept);
  auto [whole, rest] = many.updates_since(Epoch{many.epoch().value() - changes});
  REQUIRE(whole);
  CHECK(whole->epoch == many.epoch());
  CHECK(rest.empty());
  auto [again, last] = many.updates_since(Epoch{many.epoch().value() - 1});
  CHECK_FALSE(again);
  CHECK(last.size() == 1);
}
