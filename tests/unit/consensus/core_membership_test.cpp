// Who makes the core: founding, growth, replacement, re-founding; on simulated machines and on the log's value.
#include <catch2/catch.hpp>

#include <algorithm>

#include "consensus/constants.hpp"
#include "messages/constants.hpp"
#include "runtime/constants.hpp"
#include "simulation/day.hpp"

using namespace mosskeel;
using sim::Kind;
using sim::World;

namespace {

constexpr Millis catch_up = 4200;  // ms; the shortest CatchUpS of a deployment

/// Controllers alone, started anew with these settings before anything has happened.
struct Core {
  World w;
  Core(uint64_t seed, int controllers, uint32_t core_size = 3, bool later_start = false)
      : w(seed, {controllers, 0, 0, 0, 3, 0}) {
    w.configure = [=](Identity& id) {
      id.core_size = core_size;
      id.max_core_size = kMaxCoreSize;
      id.later_start = later_start;
    };
    for (auto& s : w.names(Kind::controller))
      w.wipe(s), w.start(s);
  }
  void later_starts() {
    auto first = w.configure;
    w.configure = [first](Identity& id) {
      first(id), id.later_start = true;
    };
  }
  void part(const std::vector<std::string>& one, const std::vector<std::string>& other) {
    for (auto& a : one)
      for (auto& b : other)
        w.cut(a, b), w.cut(b, a);
  }
  std::set<uint64_t> clusters() {
    std::set<uint64_t> v;
    for (auto& s : w.names(Kind::controller))
      if (w.node(s).machine && w.node(s).machine->view()->cluster)
        v.insert(w.node(s).machine->view()->cluster);
    return v;
  }
  std::set<std::string> members() {
    std::set<std::string> v;
    auto m = sim::latest(w);
    for (auto id : m->members)
      v.insert(m->find(id)->self.address);
    return v;
  }
  bool until_members(Millis within, const std::set<std::string>& want) {
    return w.until(within, [&] { return members() == want; });
  }
  void no_failures() {
    for (auto& f : w.failures)
      FAIL_CHECK(f);
  }
};

const std::set<std::string> first_three{"controller1", "controller2", "controller3"};

}  // namespace

TEST_CASE("a cut at the first start founds one cluster, and only the seeds found it") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Core c(seed, 5);
    c.part({"controller1", "controller2"}, {"controller3", "controller4", "controller5"});
    c.w.run(20000);
    CHECK(c.clusters().size() == 1);
    c.w.heal();
    c.w.run(10000);
    CHECK(c.clusters().size() == 1);
    c.no_failures();
  }
}

TEST_CASE("no order of starts founds two clusters") {
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    INFO("seed " << seed);
    Core c(seed, 6);
    for (auto& s : c.w.names(Kind::controller)) {
      c.w.kill(s);
      c.w.at(c.w.now() + c.w.below(seed % 2 ? 400 : 9000), [&c, s] { c.w.start(s); });
    }
    c.w.net.loss = seed % 3 ? 0 : 0.2;
    for (int i = 0; i < 4; ++i) {
      auto v = c.w.names(Kind::controller);
      c.w.cut(v[c.w.roll() % v.size()], v[c.w.roll() % v.size()]);
    }
    c.w.run(15000);
    c.w.heal();
    c.w.net.loss = 0;
    c.w.run(10000);
    CHECK(c.clusters().size() == 1);
    c.no_failures();
  }
}

TEST_CASE("empty disks at a later start never found a cluster") {
  Core c(3, 3, 3, true);
  c.w.run(60000);
  CHECK(c.clusters().empty());
}

TEST_CASE("a first start that is broken off is taken up from the disks at a later one") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    Core c(seed, 3);
    c.w.run(300 + c.w.below(600));
    c.later_starts();
    for (auto& s : c.w.names(Kind::controller))
      c.w.kill(s), c.w.start(s);
    c.w.run(10000);
    CHECK(c.clusters().size() == 1);
    c.no_failures();
  }
}

TEST_CASE("a disk that was wiped before the founding has no second vote in it") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Core c(seed, 3);
    c.part({"controller1"}, {"controller3"});
    c.w.run(1000 + c.w.below(900));
    c.later_starts();
    c.w.wipe("controller2");
    c.w.heal();
    c.part({"controller1"}, {"controller2", "controller3"});
    c.w.start("controller2");
    c.w.run(15000);
    c.w.heal();
    c.w.run(10000);
    CHECK(c.clusters().size() == 1);
    c.no_failures();
  }
}

TEST_CASE("the core grows to all controllers that run, one at a time, each with the log on its disk") {
  Core c(5, 5);
  std::set<std::string> all;
  for (auto& s : c.w.names(Kind::controller))
    all.insert(s);
  size_t before = 0;
  auto steps_of_one = [&] {
    auto m = sim::latest(c.w);
    if (m && m->cluster && before && m->members.size() > before + 1)
      FAIL_CHECK("two members came at once");
    if (m && m->cluster)
      before = m->members.size();
    return m && m->members.size() == 5;
  };
  CHECK(c.w.until(15000, steps_of_one));
  CHECK(c.members() == all);
  for (int i = 6; i <= 11; ++i)
    c.w.add("controller" + std::to_string(i), Kind::controller, "a");
  c.w.run(30000);
  CHECK(c.members().size() == kMaxCoreSize);
  c.no_failures();
}

TEST_CASE("a lost member is replaced inside the catch-up time of its successor's start") {
  Millis worst = 0;
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    INFO("seed " << seed);
    Core c(seed, 3);
    c.later_starts();
    c.w.run(8000);
    REQUIRE(c.members() == first_three);
    auto lost = "controller" + std::to_string(1 + seed % 3);
    c.w.power_off(lost);
    c.w.run(c.w.below(2000));
    c.w.add("controller9", Kind::controller, "a");
    auto want = first_three;
    want.erase(lost);
    want.insert("controller9");
    auto start = c.w.now();
    CHECK(c.until_members(2 * catch_up, want));
    worst = std::max(worst, c.w.now() - start);
    c.no_failures();
  }
  INFO("worst " << worst << " ms");
  CHECK(worst <= catch_up);
}

TEST_CASE("a member that comes back with an empty disk is replaced by itself inside the catch-up time") {
  Millis worst = 0;
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    INFO("seed " << seed);
    Core c(seed, 3);
    c.later_starts();
    c.w.run(8000);
    REQUIRE(c.members() == first_three);
    auto lost = "controller" + std::to_string(1 + seed % 3);
    c.w.wipe(lost);
    c.w.run(c.w.below(2000));
    c.w.start(lost);
    auto start = c.w.now();
    auto incarnation = c.w.node(lost).id.self.incarnation;
    CHECK(c.w.until(2 * catch_up, [&] { return sim::latest(c.w)->is_core_member(incarnation); }));
    worst = std::max(worst, c.w.now() - start);
    c.no_failures();
  }
  INFO("worst " << worst << " ms");
  CHECK(worst <= catch_up);
}

TEST_CASE("two replacements in a row leave a core of living members, and a third loss is borne") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Core c(seed, 3);
    c.later_starts();
    c.w.run(8000);
    for (int i = 1; i <= 2; ++i) {
      auto lost = "controller" + std::to_string(i);
      c.w.power_off(lost);
      c.w.add("controller" + std::to_string(6 + i), Kind::controller, "a");
      c.w.run(catch_up);
    }
    CHECK(c.members() == std::set<std::string>{"controller3", "controller7", "controller8"});
    c.w.power_off("controller3");
    auto before = sim::latest(c.w)->epoch;
    CHECK(c.w.until(6000, [&] { return sim::latest(c.w)->epoch > before; }));
    c.no_failures();
  }
}

TEST_CASE("a lost member of a grown core does not weigh on its majority") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    Core c(seed, 4);
    c.later_starts();
    REQUIRE(c.w.until(12000, [&] { return sim::latest(c.w)->members.size() == 4; }));
    c.w.power_off("controller" + std::to_string(1 + seed % 4));
    CHECK(c.w.until(5000, [&] { return sim::latest(c.w)->members.size() == 3; }));
    c.w.start("controller" + std::to_string(1 + seed % 4));
    CHECK(c.w.until(8000, [&] { return sim::latest(c.w)->members.size() == 4; }));
    c.no_failures();
  }
}

TEST_CASE("a member frozen for a minute or flapping neither forks the log nor stays outside the core") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    Core c(seed, 4);
    c.later_starts();
    REQUIRE(c.w.until(12000, [&] { return sim::latest(c.w)->members.size() == 4; }));
    auto s = "controller" + std::to_string(1 + seed % 4);
    c.w.freeze(s);
    c.w.run(60000);
    c.w.wake(s);
    CHECK(c.w.until(8000, [&] { return c.members().size() == 4; }));
    auto epoch = sim::latest(c.w)->epoch;
    for (int i = 0; i < 10; ++i) {
      c.w.freeze(s);
      c.w.run(1500);
      c.w.wake(s);
      c.w.run(300);
    }
    CHECK(sim::latest(c.w)->epoch.value() <= epoch.value() + 4);
    c.w.run(8000);
    CHECK(c.members().size() == 4);
    CHECK(c.clusters().size() == 1);
    c.no_failures();
  }
}

TEST_CASE("members frozen for a minute are no proof of loss") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    Core c(seed, 3);
    c.later_starts();
    c.w.run(8000);
    c.w.freeze("controller1");
    c.w.wipe("controller2");
    c.w.run(1000);
    c.w.start("controller2");
    c.w.run(60000);
    CHECK(sim::latest(c.w)->generation == 1);
    c.w.wake("controller1");
    c.w.run(10000);
    CHECK(sim::latest(c.w)->generation == 1);
    CHECK(c.members() == first_three);
    CHECK(c.clusters().size() == 1);
    c.no_failures();
  }
}

TEST_CASE("late words of an earlier controller at a member's address are no proof of its loss") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    Core c(seed, 3);
    c.later_starts();
    c.w.run(8000);
    std::vector<Candidate> earlier;
    for (auto& s : {"controller2", "controller3"}) {
      earlier.push_back(c.w.node(s).id.self);
      c.w.wipe(s);
      c.w.run(500);
      c.w.start(s);
      c.w.run(9000);
    }
    REQUIRE(c.members() == first_three);
    c.part({"controller1"}, {"controller2", "controller3"});
    for (int i = 0; i < 100; ++i) {
      for (auto& old : earlier) {
        Envelope e{};
        e.protocol = kProtocolRevision;
        e.cluster = sim::latest(c.w)->cluster;
        e.from = old.address;
        e.from_inc = old.incarnation;
        e.to = "controller1";
        e.body = Discover{old};
        c.w.post("controller1", e);
      }
      c.w.run(100);
    }
    CHECK(sim::latest(c.w)->generation == 1);
    c.w.heal();
    c.w.run(10000);
    CHECK(c.clusters().size() == 1);
    c.no_failures();
  }
}

namespace {

/// Wipes these, waits for the re-founding that follows, and puts the old disks back at the old addresses.
void refound_and_put_back(Core& c, const std::vector<std::string>& lost, const std::vector<std::string>& back,
                          Millis pause) {
  std::map<std::string, std::pair<Incarnation, sim::SimDisk>> aside;
  for (auto& s : lost) {
    auto& n = c.w.node(s);
    c.w.power_off(s);
    aside[s] = {n.id.self.incarnation, n.disk};
    c.w.wipe(s);
    c.w.start(s);
  }
  REQUIRE(c.w.until(15000, [&] { return sim::latest(c.w)->generation == 2; }));
  c.w.run(pause);
  for (auto& s : back) {
    c.w.wipe(s);
    auto& n = c.w.node(s);
    n.id.self.incarnation = aside[s].first;
    n.disk = aside[s].second;
    c.w.start(s);
  }
}

}  // namespace

TEST_CASE("a disk that comes back after a re-founding catches up and is admitted again") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Core c(seed, 3);
    c.later_starts();
    c.w.run(8000);
    refound_and_put_back(c, {"controller2", "controller3"}, {"controller3"}, seed % 2 ? 5000 : 200);
    c.w.run(20000);
    CHECK(sim::latest(c.w)->generation == 2);
    CHECK(c.members() == first_three);
    CHECK(sim::latest(c.w)->is_core_member(c.w.node("controller3").id.self.incarnation));
    CHECK(c.clusters().size() == 1);
    c.no_failures();
  }
}

TEST_CASE("a majority of old disks that comes back after a re-founding joins the new generation, and forks nothing") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Core c(seed, 3);
    c.later_starts();
    c.w.run(8000);
    refound_and_put_back(c, {"controller2", "controller3"}, {"controller2", "controller3"}, seed % 2 ? 5000 : 200);
    c.w.run(20000);
    CHECK(sim::latest(c.w)->generation >= 2);
    CHECK(c.clusters().size() == 1);
    c.no_failures();
  }
}

TEST_CASE("a controller that leaves in order hands the lease over and is removed before it stops") {
  Millis worst = 0;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Core c(seed, 4);
    c.later_starts();
    REQUIRE(c.w.until(12000, [&] { return sim::latest(c.w)->members.size() == 4; }));
    auto supervisor = [&] {
      for (auto& s : c.w.names(Kind::controller)) {
        auto& n = c.w.node(s);
        if (n.machine && static_cast<ControllerMachine&>(*n.machine).is_supervisor(c.w.clock(n)))
          return s;
      }
      return std::string();
    };
    REQUIRE(c.w.until(5000, [&] { return !supervisor().empty(); }));
    auto leaver = supervisor();
    auto start = c.w.now();
    auto& n = c.w.node(leaver);
    static_cast<ControllerMachine&>(*n.machine).begin_shutdown(c.w.clock(n));
    CHECK(c.w.until(1000, [&] { return !n.machine; }));
    CHECK(c.w.until(2000, [&] { return c.members().count(leaver) == 0 && !supervisor().empty(); }));
    worst = std::max(worst, c.w.now() - start);
    c.w.start(leaver);
    CHECK(c.w.until(8000, [&] { return sim::latest(c.w)->members.size() == 4; }));
    c.no_failures();
  }
  INFO("worst " << worst << " ms");
  CHECK(worst < kSupervisorLeaseDuration);
}
