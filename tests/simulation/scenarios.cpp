#include "simulation/day.hpp"

namespace mosskeel::sim {
namespace {

void quiet(Day& d) {
  d.c.traffic(100ms, d.w.now() + 10000ms);
  d.w.run(12000ms);
}

void lossy(Day& d) {
  d.w.net.loss = 0.02;
  d.w.net.twice = 0.05;
  d.c.traffic(100ms, d.w.now() + 15000ms);
  d.w.run(20000ms);
}

/// Kills, freezes and cuts of whatever the dice name, a few at a time.
void havoc(Day& d, const std::vector<Kind>& kinds, bool disks) {
  auto& w = d.w;
  d.c.traffic(80ms, w.now() + 30000ms);
  auto end = w.now() + 30000ms;
  while (w.now() < end) {
    w.run(500ms + w.below(2500ms));
    auto n = d.any(kinds[w.next_random() % kinds.size()]);
    switch (w.next_random() % 6) {
      case 0:
        w.kill(n);
        w.at(w.now() + w.below(4000ms), [&w, n] { w.start(n); });
        break;
      case 1:
        w.power_off(n);
        w.at(w.now() + w.below(4000ms), [&w, n] { w.start(n); });
        break;
      case 2:
        w.freeze(n);
        w.at(w.now() + 200ms + w.below(7000ms), [&w, n] { w.wake(n); });
        break;
      case 3:
        w.isolate(n);
        w.at(w.now() + 200ms + w.below(6000ms), [&w] { w.heal(); });
        break;
      case 4:
        w.cut(n, d.any(kinds[w.next_random() % kinds.size()]));
        w.at(w.now() + w.below(5000ms), [&w] { w.heal(); });
        break;
      case 5:
        if (disks)
          w.node(n).disk.slow = w.below(300ms);
        break;
    }
  }
  w.run(3000ms);
}

/// Replicas that break in every way.
void faults(Day& d) {
  const char* const f[] = {"cut", "lost", "unsealed", "stall", "skip", "false seal"};
  int i = 0;
  for (auto& [n, r] : d.c.replicas)
    r.fault = f[i++ % 6], r.every = 3;
  d.c.traffic(80ms, d.w.now() + 15000ms);
  for (int k = 0; k < 6; ++k) {
    d.w.run(2500ms);
    auto& r = d.c.replicas["model" + std::to_string(1 + d.w.below(uint64_t{4}))];
    r.up = !r.up;
  }
  d.w.run(12000ms);
}

/// Operators race, and every acknowledged configuration is in force in 2 s everywhere in touch.
void storm(Day& d) {
  auto& w = d.w;
  d.c.traffic(150ms, w.now() + 15000ms);
  auto end = w.now() + 15000ms;
  auto change = std::make_shared<std::function<void()>>();
  *change = [&d, &w, end, change] {
    if (w.now() >= end)
      return;
    auto v = w.node("controller1").machine ? w.node("controller1").machine->view() : nullptr;
    if (v) {
      auto m = v->configuration;
      if (!m.cells.empty())
        m.cells[0].retention_ms += 1;
      d.c.commit(ApplyConfiguration{v->revision, m}, [](const CommitReply&) {});
    }
    w.at(w.now() + 20ms + w.below(150ms), *change);
  };
  (*change)();
  (*change)();
  w.net.loss = 0.01;
  for (int i = 0; i < 5; ++i) {
    w.run(3000ms);
    auto m = d.any(Kind::controller);
    w.power_off(m);
    w.at(w.now() + 1500ms, [&w, m] { w.start(m); });
  }
  w.run(3000ms);
  *change = [] {
  };
}

/// Replicas and zones are drained under load, with fronts cut off.
void drains(Day& d) {
  auto& w = d.w;
  d.c.traffic(60ms, w.now() + 25000ms);
  for (int i = 0; i < 3; ++i) {
    w.run(2000ms);
    auto f = d.any(Kind::gateway);
    w.isolate(f);
    w.isolate(w.node(f).beside);
    auto n = std::string(i % 2 ? "app" : "model") + std::to_string(i + 1);
    auto& r = d.c.replicas[n];
    d.c.commit(SetReplica{{n, r.kind, r.zone, "http://" + n, ReplicaHealth::draining, {}, 0}},
               [](const CommitReply&) {});
    w.run(4500ms);
    w.heal();
    d.c.commit(SetReplica{{n, r.kind, r.zone, "http://" + n, ReplicaHealth::ready, {}, 0}}, [](const CommitReply&) {});
  }
  w.run(5000ms);
  d.c.commit(EvacuateZone{"a"}, [](const CommitReply&) {});
  w.run(9000ms);
  d.c.commit(RestoreZone{"a"}, [](const CommitReply&) {});
  w.run(3000ms);
}

/// Stores added, retired, emptied and replaced under load.
void stores(Day& d) {
  auto& w = d.w;
  d.c.traffic(80ms, w.now() + 40000ms);
  w.run(3000ms);
  w.add("store9", Kind::store, "a");
  w.run(6000ms);
  auto v = w.node("controller1").machine->view();
  auto* r2 = v->find_at("store2");
  d.c.commit(PrepareDrain{r2 ? r2->id : DaemonId{}}, [](const CommitReply&) {});
  w.run(8000ms);
  auto n = d.any(Kind::store);
  w.wipe(n);
  w.run(1000ms);
  w.start(n);
  w.run(20000ms);
}

/// A core machine is lost with its disk and an empty one comes at a new address.
void core(Day& d) {
  auto& w = d.w;
  d.c.traffic(100ms, w.now() + 25000ms);
  w.run(2000ms);
  auto m = d.any(Kind::controller);
  w.wipe(m);
  w.run(1000ms);
  w.add("controller9", Kind::controller, "b");
  w.run(15000ms);
  std::string full;
  for (auto& s : w.names(Kind::controller))
    if (w.node(s).machine)
      full = s;
  auto v = w.node(full).machine->view();
  bool in = false;
  for (auto id : v->members)
    in |= v->find(id)->self.address == "controller9";
  if (!in)
    w.fail("the empty machine was not brought into the core");
  w.start(m);
  w.run(5000ms);
}

/// Fronts leave in order, one after the other, and come back: no answer may be lost.
void rolling(Day& d) {
  auto& w = d.w;
  d.c.traffic(60ms, w.now() + 25000ms);
  for (auto& s : w.names(Kind::gateway)) {
    w.run(1500ms);
    static_cast<GatewayMachine&>(*w.node(s).machine).begin_shutdown();
    if (!w.until(15000ms, [&] { return !w.node(s).machine; }))
      w.fail(s + " did not leave in order");
    w.run(300ms);
    w.start(s);
    w.until(10000ms, [&] { return w.ready(s); });
  }
  w.run(5000ms);
  if (auto n = d.c.unknowns + d.c.count_unknown)
    w.fail(std::to_string(n) + " answers were lost in planned restarts");
}

using Play = std::function<void(Day&)>;
struct Row {
  const char* name;
  Size size;
  uint64_t budget;
  Play play;
};

const std::vector<Row>& rows() {
  static const std::vector<Kind> all{Kind::controller, Kind::store, Kind::agent, Kind::gateway};
  static const std::vector<Row> v{
      {"quiet", {3, 3, 3, 4, 3}, 400, quiet},
      {"lossy", {3, 3, 3, 4, 3}, 400, lossy},
      {"budget", {3, 3, 3, 4, 3}, 12, lossy},
      {"fronts",
       {3, 3, 4, 4, 3},
       400,
       [](Day& d) {
         havoc(d, {Kind::gateway, Kind::agent}, false);
       }},
      {"store-havoc",
       {3, 3, 3, 4, 3},
       30,
       [](Day& d) {
         havoc(d, {Kind::store}, true);
       }},
      {"controllers",
       {5, 3, 3, 4, 3},
       400,
       [](Day& d) {
         havoc(d, {Kind::controller}, true);
       }},
      {"havoc",
       {3, 3, 3, 4, 3},
       30,
       [](Day& d) {
         havoc(d, all, true);
       }},
      {"faults", {3, 3, 3, 6, 3}, 40, faults},
      {"storm", {3, 3, 3, 4, 3}, 400, storm},
      {"drains", {3, 3, 3, 6, 3}, 400, drains},
      {"stores", {3, 3, 3, 4, 3}, 400, stores},
      {"core", {3, 3, 3, 4, 3}, 400, core},
      {"rolling", {3, 3, 3, 4, 3}, 400, rolling},
      {"planned", {3, 3, 4, 6, 3}, 400, planned},
      {"successor", {3, 3, 3, 4, 3}, 400, successor},
      {"split", {5, 3, 3, 4, 3}, 400, split},
      {"zone", {3, 3, 6, 6, 3}, 400, zone_lost},
      {"coreless", {3, 3, 3, 4, 3}, 400, coreless},
      {"cold", {3, 3, 4, 6, 3}, 400, cold},
      {"rush", {3, 3, 3, 4, 3}, 400, rush},
      {"powerack", {3, 3, 3, 4, 3}, 400, power_after_ack},
      {"lostcore", {3, 3, 3, 4, 3}, 400, core_majority_lost},
      {"rebuild", {3, 3, 3, 4, 3}, 400, rebuild},
      {"seeds", {5, 3, 3, 4, 3}, 400, seeds_swapped},
      {"slow", {3, 3, 4, 4, 3}, 400, slow_disks},
      {"carousel", {3, 3, 3, 4, 3}, 400, carousel},
      {"corecut", {3, 3, 4, 6, 3}, 400, core_cut},
      {"retention", {3, 3, 3, 4, 3}, 400, retention},
      {"idle", {3, 3, 3, 4, 3}, 400, idle_histories},
      {"survivor", {3, 3, 3, 4, 3}, 400, survivor},
      {"survivor5", {5, 3, 3, 4, 3}, 400, survivor},
      {"kjortala",
       {5, 3, 6, 18, 3, 8},
       400,
       [](Day& d) {
         deployment(d, true);
       }},
      {"catania",
       {3, 3, 6, 9, 3, 3},
       400,
       [](Day& d) {
         deployment(d, false);
       }},
      {"helpers", {3, 3, 3, 4, 3}, 12, many_helpers},
      {"orders", {3, 3, 3, 4, 3}, 400, orders},
      {"orders5", {5, 3, 3, 4, 3}, 400, orders},
      {"quietpair", {5, 7, 4, 4, 3, 3, 2}, 400, quiet},
      {"pairwipe", {5, 7, 4, 4, 3, 3, 2}, 400, pair_wiped},
      {"unreplaced", {5, 7, 4, 4, 3, 3, 2}, 400, unreplaced},
      {"leaving", {3, 5, 3, 4, 3}, 400, leaving},
      {"flapping", {3, 5, 3, 4, 3}, 400, flapping},
  };
  return v;
}

}  // namespace

std::vector<std::string> scenarios() {
  std::vector<std::string> v;
  for (auto& r : rows())
    v.push_back(r.name);
  return v;
}

Verdict play(const std::string& scenario, uint64_t seed, bool notes) {
  Verdict v;
  for (auto& r : rows()) {
    if (r.name != scenario)
      continue;
    Day d(seed, r.size, r.budget);
    d.w.keep_notes = notes;
    if (!d.c.introduce())
      d.w.fail("the fleet did not come up");
    else
      r.play(d), d.closed ? void() : d.close();
    d.w.local = nullptr;
    d.w.died = nullptr;
    return {d.w.failures, d.w.notes,    d.c.successes, d.c.refusals, d.c.unknowns,
            d.c.resumed,  d.w.messages, d.w.syncs,     d.c.reasons,  d.exposed};
  }
  v.failures.push_back("no scenario " + scenario);
  return v;
}

}  // namespace mosskeel::sim
