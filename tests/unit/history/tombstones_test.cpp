// What a store keeps of ended lines, and how a replica's places are shared.
#include <catch2/catch.hpp>

#include "history/tombstones.hpp"
#include "metadata/constants.hpp"
#include "programs/replica_selector.hpp"

using namespace mosskeel;

TEST_CASE("Tombstones are found until the older generation is dropped") {
  Tombstones g;
  for (uint64_t i = 1; i <= 20; ++i)
    g.add(i * 7 % 101, 8);
  CHECK(g.size() <= 16);
  for (uint64_t i = 17; i <= 20; ++i)
    CHECK(g.has(i * 7 % 101));
  CHECK_FALSE(g.has(7));
  auto all = g.above(0, 100);
  CHECK(all.size() == g.size());
  CHECK(std::is_sorted(all.begin(), all.end()));
  CHECK(g.above(all[3], 2) == std::vector<uint64_t>{all[4], all[5]});
}

TEST_CASE("a replica's places are shared out over the fronts, and ramped by one while it is cold") {
  Metadata m;
  for (uint64_t i = 1; i <= 6; ++i) {
    DaemonId id{i};
    m.directory[id] = {id, {Incarnation{i}, Role::front, "a", "f" + std::to_string(i), "", ""}, DaemonState::up, {}};
  }
  struct Row {
    ReplicaHealth health;
    uint32_t places;
    Millis after;
    uint32_t sum;
  };
  for (auto& r :
       {Row{ReplicaHealth::ready, 32, 0, 32}, Row{ReplicaHealth::ready, 6, 0, 6}, Row{ReplicaHealth::ready, 3, 0, 6},
        Row{ReplicaHealth::draining, 32, 0, 0}, Row{ReplicaHealth::warming_up, 32, 0, 1},
        Row{ReplicaHealth::warming_up, 32, kSlowStartDuration / 2, 16},
        Row{ReplicaHealth::warming_up, 32, kSlowStartDuration * 2, 32}}) {
    uint32_t sum = 0;
    for (auto& [id, d] : m.directory) {
      ReplicaSelector n;
      Replica x{"model1", "model", "a", "http://x", r.health, Epoch{9}, r.places};
      n.usable_capacity(x, m, d, 1000);
      sum += n.usable_capacity(x, m, d, 1000 + r.after);
    }
    INFO(name(r.health) << " " << r.places << " after " << r.after);
    CHECK(sum == r.sum);
  }
}
