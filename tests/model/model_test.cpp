// The invariants of the core hold in every state within the bounds, from each start. `build/bin/model` has wider ones.
#include <catch2/catch.hpp>

#include "model/explorer.hpp"
#include "model/starts.hpp"

using namespace mosskeel;
using namespace mosskeel::model;

namespace {

/// Small enough for each run of the tests.
const Bounds kAllOrders{.depth = 4};
const Bounds kOneDeviation{.depth = 50, .deviations = 1};
constexpr uint64_t kWalks = 60;
constexpr int kWalkSteps = 400;

void check_held(const std::string& search, const Cluster& start, const Report& report) {
  INFO(search << ": " << report.broken << "\n"
              << (report.broken.empty() ? "" : describe(shorten(start, report.trace))));
  WARN(search << ": " << report.states << " states, " << report.steps << " steps, acknowledged " << report.acknowledged
              << ", refused " << report.rejected);
  CHECK(report.broken.empty());
}

void search_from(const std::string& name, Cluster (*make)(Options)) {
  auto start = make({});
  REQUIRE(start.observer().broken().empty());
  check_held(name + ", all orders", start, explore(start, kAllOrders));
  check_held(name + ", one deviation", start, explore(start, kOneDeviation));
  check_held(name + ", walks", start, walk(start, 1, kWalks, kWalkSteps));
}

}  // namespace

TEST_CASE("the invariants hold while a cluster is founded", "[model]") {
  search_from("before-founding", before_founding);
}

TEST_CASE("the invariants hold while two orders on one base race", "[model]") {
  search_from("after-founding", after_founding);
}

TEST_CASE("the invariants hold while a proposal is open", "[model]") {
  search_from("open-proposal", open_proposal);
}

TEST_CASE("the invariants hold while a member is replaced", "[model]") {
  search_from("member-replaced", member_replaced);
}

TEST_CASE("the invariants hold while the core is founded anew", "[model]") {
  search_from("before-refounding", before_refounding);
}

/// The first state keeps its machines; the second is copied before each action, so that they are rebuilt.
TEST_CASE("a trace gives the same state each time", "[model]") {
  constexpr int actions = 40;
  auto kept = after_founding();
  auto copied = kept;
  for (int i = 0; i < actions; ++i) {
    auto action = kept.enabled().front();
    kept.apply(action);
    auto copy = copied;
    copy.apply(action);
    copied = copy;
    REQUIRE(kept.fingerprint() == copied.fingerprint());
  }
  CHECK(kept.observer().acknowledged() == 1);
}
