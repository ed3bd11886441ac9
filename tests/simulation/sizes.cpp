// Days at the deployments' sizes: the brief's troubles under its load, then a closing fault that stays.
#include <algorithm>

#include "metadata/constants.hpp"
#include "simulation/day.hpp"

namespace mosskeel::sim {
namespace {

std::vector<std::string> of_zone(World& w, const std::string& z) {
  std::vector<std::string> v;
  for (auto k : {Kind::controller, Kind::store, Kind::agent, Kind::gateway})
    for (auto& s : w.names(k))
      if (w.node(s).id.self.zone == z)
        v.push_back(s);
  return v;
}

void front_down(Day& d, bool freeze) {
  auto f = d.any(Kind::gateway);
  for (auto& s : {f, d.w.node(f).beside})
    freeze ? d.w.freeze(s) : d.w.kill(s);
}

void replica(Day& d, const std::string& n, ReplicaHealth f) {
  auto& r = d.c.replicas[n];
  d.c.commit(SetReplica{{n, r.kind, r.zone, "http://" + n, f, {}, 0}}, [](const CommitReply&) {});
}

/// One of the brief's troubles, begun and left to take its course.
void trouble(Day& d, uint64_t which) {
  auto& w = d.w;
  switch (which % 9) {
    case 0:  // a crowd at once, urgent jobs among it
      d.c.urgent_share = 15;
      d.c.traffic(6ms, w.now() + 4000ms);
      w.run(6000ms);
      break;
    case 1:  // replicas replaced one by one
      for (int i = 1; i <= 4; ++i) {
        auto n = "model" + std::to_string(i);
        replica(d, n, ReplicaHealth::draining);
        w.run(1800ms);
        replica(d, n, ReplicaHealth::warming_up);
        w.run(700ms);
      }
      break;
    case 2: {  // a worker dies and comes back
      auto f = d.any(Kind::gateway);
      w.kill(f);
      w.run(4000ms);
      w.start(f);
      w.run(4000ms);
      break;
    }
    case 3: {  // a store's disk is lost
      auto s = d.any(Kind::store);
      w.wipe(s);
      w.run(2000ms);
      w.start(s);
      w.run(12000ms);
      break;
    }
    case 4: {  // a zone loses power and comes back
      auto v = of_zone(w, std::string(1, static_cast<char>('a' + w.below(uint64_t{3}))));
      for (auto& s : v)
        w.power_off(s);
      w.run(8000ms);
      for (auto& s : v)
        w.start(s);
      w.run(8000ms);
      break;
    }
    case 5: {  // an empty core machine at a new address takes a lost one's place
      auto m = d.any(Kind::controller);
      w.wipe(m);
      w.add("controller9", Kind::controller, w.node(m).id.self.zone);
      w.run(14000ms);
      break;
    }
    case 6:  // machines are added
      w.add("store9", Kind::store, "a");
      w.add("agent9", Kind::agent, "b", "gateway9");
      w.add("gateway9", Kind::gateway, "b", "agent9");
      w.run(8000ms);
      break;
    case 7:  // the seeds are swapped for other core machines
      w.seeds = {w.names(Kind::controller).back(), "controller77", "controller78"};
      for (auto& s : w.names(Kind::agent))
        w.kill(s), w.run(300ms), w.start(s), w.run(900ms);
      break;
    case 8:  // two operators race in a storm
      for (int i = 0; i < 20; ++i) {
        auto v = latest(w);
        auto m = v->configuration;
        m.cells[0].retention_ms += 1 + i;
        for (int k = 0; k < 2; ++k)
          d.c.commit(ApplyConfiguration{v->revision, m}, [](const CommitReply&) {});
        w.run(150ms);
      }
      break;
  }
}

const char* closing_fault(Day& d, uint64_t which) {
  auto& w = d.w;
  switch (which % 7) {
    case 0:
      return front_down(d, false), "a front killed";
    case 1:
      return front_down(d, true), "a front frozen";
    case 2:
      return w.power_off(d.any(Kind::store)), "a store lost";
    case 3:
      return w.wipe(d.any(Kind::controller)), "a core machine lost";
    case 4: {
      auto v = w.names(Kind::controller);
      for (size_t i = 0; i < majority_of(v.size()); ++i)
        w.freeze(v[i]);
      return "a core majority frozen";
    }
    case 5:
      for (auto& s : of_zone(w, std::string(1, static_cast<char>('a' + w.below(uint64_t{3})))))
        w.power_off(s);
      return "a zone lost";
    default: {
      auto v = of_zone(w, std::string(1, static_cast<char>('a' + w.below(uint64_t{3}))));
      std::set<std::string> in(v.begin(), v.end());
      for (auto k : {Kind::controller, Kind::store, Kind::agent, Kind::gateway})
        for (auto& s : w.names(k))
          if (!in.count(s))
            for (auto& o : v)
              w.cut(o, s), w.cut(s, o);
      return "a zone cut off";
    }
  }
}

/// By 12 s after the fault, which stays: a new program on every partition, and old conversations are followed on.
void must_resume(Day& d, const char* what) {
  auto& w = d.w;
  std::vector<std::string> ask;
  std::set<PartitionId> have;
  for (int i = 0; have.size() < kPartitionCount; ++i)
    if (auto n = "after" + std::to_string(i); have.insert(partition_of("news", n)).second)
      ask.push_back(n);
  auto old = d.c.programs();
  for (size_t i = 0; i < old.size() && i < 120; ++i)
    ask.push_back(old[w.next_random() % old.size()]);
  auto left = std::make_shared<std::map<std::string, int>>();
  for (auto& p : ask) {
    ++(*left)[p];
    w.at(w.now() + w.below(1500ms), [&d, p, left] {
      d.c.turn(p, "closing", [p, left](const Turn& t) {
        if (t.success || t.status == 429)
          --(*left)[p];
      });
    });
  }
  auto open = [left] {
    return std::count_if(left->begin(), left->end(), [](auto& x) { return x.second > 0; });
  };
  if (w.until(6000ms, [&] { return open() == 0; }))
    return;
  std::string who;
  for (auto& [p, n] : *left)
    if (n > 0 && who.size() < 60)
      who += " " + p;
  w.fail(std::to_string(open()) + " of " + std::to_string(ask.size()) + " programs not served 12 s after " + what +
         ":" + who);
}

}  // namespace

/// A store is replaced by an empty one at another address, which joins before the lost one is marked down; later
/// another one loses its disk. No partition may be left with the lost store in its set, so that the second loss is
/// borne.
void successor(Day& d) {
  auto& w = d.w;
  d.c.traffic(50ms, w.now() + 40000ms);
  w.run(3000ms + w.below(1000ms));
  auto lost = latest(w)->find_at("store1")->id;
  w.power_off("store1");
  w.run(300ms + w.below(1000ms));
  w.add("store9", Kind::store, "a");
  auto rid = [&] {
    auto v = latest(w);
    return v->sequences.empty() && std::none_of(v->partitions.begin(), v->partitions.end(), [&](auto& s) {
             return std::count(s.stores.begin(), s.stores.end(), lost) > 0;
           });
  };
  if (!w.until(12000ms, rid))
    w.fail("slots still count on a store that is gone");
  w.run(1000ms);
  w.wipe("store2");
  w.run(1000ms);
  w.start("store2");
  w.run(9000ms);
  if (!latest(w)->sequences.empty())
    w.fail("the wiped store's join does not end");
}

/// Every kind of planned work under load, one after the other: no answer may be unknown.
void planned(Day& d) {
  auto& w = d.w;
  d.c.traffic(50ms, w.now() + 75000ms);
  auto yes = [&](Transformation t, const char* what) {
    auto got = std::make_shared<bool>(false);
    d.c.commit(std::move(t), [got](const CommitReply& r) { *got = r.outcome == CommitOutcome::committed; });
    if (!w.until(10000ms, [got] { return *got; }))
      w.fail(std::string(what) + " was not acknowledged");
    w.run(500ms);
  };
  auto calm = [&](const char* what) {
    auto good = [&] {
      auto v = latest(w);
      if (!v || !v->sequences.empty())
        return false;
      for (auto& [id, x] : v->directory)
        if (x.state == DaemonState::down || x.state == DaemonState::registered)
          return false;
      return true;
    };
    if (!w.until(15000ms, good))
      w.fail(std::string("the fleet is not calm after ") + what);
  };
  for (auto k : {Kind::controller, Kind::store, Kind::agent})
    for (auto& s : w.names(k)) {
      w.stop(s);
      w.run(300ms + w.below(400ms));
      w.start(s);
      w.run(1500ms);
      calm("a restart");
    }
  w.add("store9", Kind::store, "a");
  w.run(3000ms);
  calm("a store was added");
  yes(PrepareDrain{latest(w)->find_at("store1")->id}, "the retirement");
  if (!w.until(15000ms, [&] { return latest(w)->sequences.empty(); }))
    w.fail("the retirement did not end");
  w.run(1000ms);
  w.stop("store1");
  yes(EvacuateZone{"b"}, "the evacuation");
  w.run(3000ms);
  yes(RestoreZone{"b"}, "the restoring");
  w.run(2000ms);
  auto from = latest(w)->find_at("gateway1")->id, to = latest(w)->find_at("gateway3")->id;
  yes(MoveAllPartitions{from, to}, "the move of routes");
  if (!change(d, 10000ms))
    w.fail("a configuration was not acknowledged");
  w.run(3000ms);
  if (auto n = d.c.unknowns + d.c.count_unknown) {
    w.fail(std::to_string(n) + " answers were lost in planned work");
    for (auto& [r, k] : d.c.reasons)
      w.fail(std::to_string(k) + " times: " + r);
  }
}

void deployment(Day& d, bool election) {
  auto& w = d.w;
  d.c.dives = election ? 6 : 12;
  d.c.traffic(election ? 38ms : 83ms, w.now() + 80000ms);
  w.run(2000ms);
  auto first = w.next_random(), second = w.next_random();
  trouble(d, first);
  w.run(1000ms);
  trouble(d, second % 9 == first % 9 ? second + 1 : second);
  if (!w.until(20000ms, [&] { return latest(w)->sequences.empty(); }))
    w.fail("sequences are stuck before the closing fault");
  w.run(3000ms);
  auto what = closing_fault(d, w.next_random());
  w.run(12000ms);
  d.c.only_ready = true;
  must_resume(d, what);
}

}  // namespace mosskeel::sim
