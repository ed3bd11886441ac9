// Simulated days with fixed seeds: none breaks a rule, and a seed gives the same day again.
#include "simulation/scenarios.hpp"

#include <set>
#include <string>
#include <vector>

#include "unit/catch.hpp"

using namespace mosskeel;

namespace {
struct Row {
  const char* scenario;
  std::vector<uint64_t> seeds;
};
/// Fixed seeds; those above 3 once failed and stay for good.
const Row rows[] = {
    {"quiet", {1}},
    {"lossy", {1, 2}},
    {"budget", {1, 2}},
    {"fronts", {1, 2, 6, 32}},
    {"store-havoc", {1, 2, 11}},
    {"controllers", {1, 2}},
    {"havoc", {1, 2, 3}},
    {"faults", {1, 2}},
    {"storm", {1, 2}},
    {"drains", {1, 2}},
    {"split", {1, 12}},
    {"zone", {1, 2}},
    {"coreless", {1}},
    {"cold", {1}},
    {"rush", {1}},
    {"powerack", {1, 2}},
    {"lostcore", {1, 2}},
    {"rebuild", {1, 3, 7}},
    {"seeds", {1}},
    {"slow", {1, 2}},
    {"helpers", {1}},
    {"carousel", {1, 2}},
    {"successor", {1, 2, 3}},
    {"stores", {1, 2}},
    {"core", {1, 2}},
    {"rolling", {1, 2, 3}},
    {"planned", {1, 2}},
    {"corecut", {1, 2, 3}},
    {"retention", {1, 2}},
    {"idle", {1, 3, 9}},
    {"survivor", {1, 2, 3, 4, 5}},
    {"survivor5", {1, 2, 3}},
    {"kjortala", {1, 7, 29}},
    {"catania", {7, 53}},
    {"orders", {1, 2, 3}},
    {"orders5", {1, 2}},
    {"quietpair", {1}},
    {"pairwipe", {1, 2, 3}},
    {"unreplaced", {1, 2, 3}},
    {"leaving", {1, 2, 3, 4, 5, 6}},
    {"flapping", {1, 2}},
};
}  // namespace

TEST_CASE("no simulated day breaks a promise") {
  for (auto& r : rows)
    for (auto s : r.seeds) {
      auto v = sim::play(r.scenario, s);
      INFO(r.scenario << " seed " << s);
      for (auto& f : v.failures)
        FAIL_CHECK(f);
      auto is = [&](const char* name) {
        return std::string(r.scenario).find(name) == 0;
      };
      bool histories = !is("survivor") && !is("orders");
      CHECK(v.successes > (histories ? 100 : 10));
      if (histories)
        CHECK(v.resumed > 20);
    }
}

TEST_CASE("a seed plays the same day every time") {
  auto a = sim::play("havoc", 7), b = sim::play("havoc", 7);
  CHECK(a.messages == b.messages);
  CHECK(a.syncs == b.syncs);
  CHECK(a.successes == b.successes);
}

TEST_CASE("every scenario is in the fixed table") {
  std::set<std::string> have;
  for (auto& r : rows)
    have.insert(r.scenario);
  for (auto& s : sim::scenarios())
    CHECK(have.count(s) == 1);
}
