// Scenarios of whole zones, stores and crowds.
#include "metadata/constants.hpp"
#include "programs/constants.hpp"
#include "simulation/day.hpp"

namespace mosskeel::sim {
/// The core falls into parts, whole and one-way.
void split(Day& d) {
  auto& w = d.w;
  d.c.traffic(100ms, w.now() + 40000ms);
  for (int i = 0; i < 4; ++i) {
    w.run(1500ms);
    auto v = w.names(Kind::controller);
    auto k = 1 + w.next_random() % 4;
    bool one_way = w.chance(0.4);
    for (size_t a = 0; a < k; ++a)
      for (size_t b = k; b < v.size(); ++b) {
        w.cut(v[a], v[b]);
        if (!one_way)
          w.cut(v[b], v[a]);
      }
    if (auto r = change(d, 4000ms))
      in_force(d, r, 2000ms);
    must_serve(d, 2500ms, "a split of the core");
    w.heal();
  }
  w.run(3000ms);
}

/// Everything in one zone loses power at once and comes back much later.
void zone_lost(Day& d) {
  auto& w = d.w;
  d.c.traffic(100ms, w.now() + 28000ms);
  w.run(2000ms);
  std::string z(1, static_cast<char>('a' + w.below(uint64_t{3})));
  std::vector<std::string> gone;
  for (auto k : {Kind::controller, Kind::store, Kind::agent, Kind::gateway})
    for (auto& s : w.names(k))
      if (w.node(s).id.self.zone == z)
        w.power_off(s), gone.push_back(s);
  for (auto& [n, r] : d.c.replicas)
    if (r.zone == z)
      r.up = false;
  w.run(7000ms);
  must_serve(d, 5000ms, "the loss of a zone");
  if (auto r = change(d, 8000ms))
    in_force(d, r, 2000ms);
  else
    w.fail("no change was accepted with one zone lost");
  for (auto& s : gone)
    w.start(s);
  for (auto& [n, r] : d.c.replicas)
    r.up = true;
  w.run(10000ms);
}

/// All controllers are gone for a while; the fleet serves on the last view.
void coreless(Day& d) {
  auto& w = d.w;
  d.c.traffic(100ms, w.now() + 25000ms);
  w.run(2000ms);
  for (auto& s : w.names(Kind::controller))
    w.power_off(s);
  w.run(4000ms);
  must_serve(d, 10000ms, "the loss of the whole core");
  for (auto& s : w.names(Kind::controller))
    w.start(s);
  w.run(5000ms);
  if (!change(d, 10000ms))
    w.fail("the core did not come back");
}

/// Replicas come back cold, one after the other, under load.
void cold(Day& d) {
  auto& w = d.w;
  d.c.traffic(25ms, w.now() + 25000ms);
  w.run(1000ms);
  for (int i = 1; i <= 3; ++i) {
    auto n = "model" + std::to_string(i);
    auto& r = d.c.replicas[n];
    d.c.commit(SetReplica{{n, "model", r.zone, "http://" + n, ReplicaHealth::warming_up, {}, 0}},
               [&](const CommitReply& c) {
                 if (c.outcome == CommitOutcome::committed)
                   r.cold_since = w.now(), r.from.clear();
               });
    w.run(kSlowStartDuration - 500ms);
    auto v = latest(w);
    if (v && v->replicas.at(n).health != ReplicaHealth::warming_up)
      w.fail(n + " was called ready before its ramp was over");
    r.cold_since = {};
  }
  auto ready = [&] {
    return latest(w)->replicas.at("model1").health == ReplicaHealth::ready;
  };
  if (!w.until(10000ms, ready))
    w.fail("a cold replica never became ready");
}

/// A crowd far beyond what the replicas can do, with urgent jobs among it.
void rush(Day& d) {
  auto& w = d.w;
  d.c.pace = 900ms;
  d.c.urgent_share = 20;
  d.c.tries = 3;
  d.c.helpers = false;
  d.c.traffic(100ms, w.now() + 5000ms);
  w.run(5000ms);
  d.c.traffic(4ms, w.now() + 10000ms);
  auto before = d.c.successes;
  w.run(10000ms);
  auto done = d.c.successes - before;
  if (done < 200)
    w.fail("goodput fell under the crowd: " + std::to_string(done));
  if (d.c.refusals < 50)
    w.fail("nothing was refused, so this was no crowd");
  w.run(45000ms);
  if (d.c.slowest_refusal > kMaxQueueWait + 1000ms)
    w.fail("a refusal was held back " + std::to_string(d.c.slowest_refusal.count()) + " ms");
  d.c.tries = 12;
  d.c.pace = 40ms;
  if (d.c.urgent_done * 10 < d.c.urgent_asked * 5)
    w.fail("urgent turns starve: " + std::to_string(d.c.urgent_done) + " of " + std::to_string(d.c.urgent_asked));
}

/// All stores are slow, fronts die often, and now and then all stores lose power at once.
void slow_disks(Day& d) {
  auto& w = d.w;
  d.c.traffic(80ms, w.now() + 25000ms);
  for (int i = 0; i < 8; ++i) {
    for (auto& s : w.names(Kind::store))
      w.node(s).disk.slow = 100ms + w.below(300ms);
    w.run(1500ms + w.below(1500ms));
    if (i % 2) {
      auto f = d.any(Kind::gateway);
      for (auto& s : w.names(Kind::store))
        w.power_off(s);
      w.kill(f);
      w.run(200ms);
      for (auto& s : w.names(Kind::store))
        w.start(s);
      w.start(f);
    } else {
      auto f = d.any(Kind::gateway);
      w.kill(f);
      w.run(500ms);
      w.start(f);
    }
  }
  w.run(6000ms);
}

/// Every store loses its disk, one after the other, each only once the one before is repaired;
/// the fronts restart each time, so that no owner's memory fills the gaps.
void carousel(Day& d) {
  auto& w = d.w;
  d.c.traffic(100ms, w.now() + 20000ms);
  for (auto& s : w.names(Kind::store)) {
    w.run(1500ms);
    for (auto& f : w.names(Kind::gateway))
      w.kill(f), w.run(100ms), w.start(f);
    w.wipe(s);
    w.run(500ms);
    w.start(s);
    auto whole = [&] {
      auto v = latest(w);
      auto* me = v->find(w.node(s).id.self.incarnation);
      if (!me || me->state != DaemonState::up || !v->sequences.empty())
        return false;
      for (auto& x : v->partitions)
        for (auto r : x.stores)
          if (v->find(r)->state != DaemonState::up)
            return false;
      return true;
    };
    if (!w.until(25000ms, whole))
      w.fail("the copies of " + s + " were not restored");
  }
}

/// Programs whose helpers all ask at once, against one small budget.
void many_helpers(Day& d) {
  auto& w = d.w;
  d.c.traffic(200ms, w.now() + 12000ms);
  for (int i = 0; i < 30; ++i) {
    auto p = "dive" + std::to_string(i);
    for (int h = 0; h < 8; ++h)
      d.c.turn(p, "h" + std::to_string(h), [](const Turn&) {});
    w.run(300ms);
  }
  w.run(5000ms);
}

}  // namespace mosskeel::sim
