// The invariants of the core hold in every state within the bounds, from each start. `build/bin/model` has wider ones.
#include <catch2/catch.hpp>

#include "model/explorer.hpp"
#include "model/starts.hpp"

using namespace mosskeel;
using namespace mosskeel::model;

namespace {

void holds(const std::string& how, const Cluster& from, const Report& r) {
  INFO(how << ": " << r.broken << "\n" << (r.broken.empty() ? "" : describe(shorten(from, r.trace))));
  WARN(how << ": " << r.states << " states, " << r.steps << " steps, acknowledged " << r.acknowledged << ", refused "
           << r.rejected);
  CHECK(r.broken.empty());
}

void search(const char* name, Cluster (*make)(Options)) {
  auto from = make({});
  REQUIRE(from.observer().broken().empty());
  holds(std::string(name) + ", all orders", from, explore(from, {4}));
  holds(std::string(name) + ", one deviation", from, explore(from, {50, 1}));
  holds(std::string(name) + ", walks", from, walk(from, 1, 60, 400));
}

}  // namespace

TEST_CASE("the invariants hold while a cluster is founded", "[model]") {
  search("before-founding", before_founding);
}
TEST_CASE("the invariants hold while two orders on one base race", "[model]") {
  search("after-founding", after_founding);
}
TEST_CASE("the invariants hold while a proposal is open", "[model]") {
  search("open-proposal", open_proposal);
}
TEST_CASE("the invariants hold while a member is replaced", "[model]") {
  search("member-replaced", member_replaced);
}
TEST_CASE("the invariants hold while the core is founded anew", "[model]") {
  search("before-refounding", before_refounding);
}

TEST_CASE("a trace gives the same state each time", "[model]") {
  auto from = after_founding();
  auto a = from, b = from;
  for (int i = 0; i < 40; ++i) {
    auto action = a.enabled().front();
    a.apply(action);
    auto copy = b;  // a copy rebuilds its machines from their inputs
    copy.apply(action);
    b = copy;
    REQUIRE(a.fingerprint() == b.fingerprint());
  }
  CHECK(a.observer().acknowledged() == 1);
}
