// Scenarios in which parts of the fleet cannot hear each other while operators reach the core.
#include "simulation/day.hpp"

namespace mosskeel::sim {
namespace {

/// Cuts all between the two groups; `there`, `back` tell which ways.
void part(World& w, const std::set<std::string>& one, bool there, bool back) {
  for (auto k : {Kind::controller, Kind::store, Kind::agent, Kind::gateway})
    for (auto& s : w.names(k))
      if (!one.count(s))
        for (auto& o : one) {
          if (there)
            w.cut(o, s);
          if (back)
            w.cut(s, o);
        }
}

/// A front's two processes go together.
void take(World& w, std::set<std::string>& v, const std::string& s) {
  v.insert(s);
  if (!w.node(s).beside.empty())
    v.insert(w.node(s).beside);
}

}  // namespace

/// The core is cut off from the fleet, whole or with some daemons, both ways or one, and fronts in every grouping;
/// operators reach the core meanwhile and drain, evacuate and configure.
void core_cut(Day& d) {
  auto& w = d.w;
  d.c.traffic(60ms, w.now() + 60000ms);
  for (int i = 0; i < 4; ++i) {
    w.run(1000ms + w.below(1000ms));
    std::set<std::string> one;
    auto how = w.next_random() % 5;
    if (how < 4)
      for (auto& s : w.names(Kind::controller))
        one.insert(s);
    if (how == 1 || how == 4)
      for (auto k : {Kind::controller, Kind::store, Kind::gateway})
        for (auto& s : w.names(k))
          if (w.chance(0.4))
            take(w, one, s);
    part(w, one, how != 3, how != 2);
    auto n = "model" + std::to_string(i + 1);
    auto rep = [&](ReplicaHealth f) {
      return SetReplica{{n, "model", d.c.replicas[n].zone, "http://" + n, f, {}, 0}};
    };
    auto z = std::string(1, static_cast<char>('a' + i % 3));
    auto before = d.c.successes;
    w.run(w.below(300ms));
    d.c.commit(
        rep(ReplicaHealth::draining), [](const CommitReply&) {}, "", 5000ms);
    d.c.commit(
        EvacuateZone{z}, [](const CommitReply&) {}, "", 5000ms);
    change(d, 5000ms);
    w.run(2500ms + w.below(4000ms));
    if (how == 0 && d.c.successes < before + 20)
      w.fail("the fleet hardly served without its core: " + std::to_string(d.c.successes - before));
    w.heal();
    w.run(2500ms);
    d.c.commit(rep(ReplicaHealth::ready), [](const CommitReply&) {});
    d.c.commit(RestoreZone{z}, [](const CommitReply&) {});
    w.run(1500ms);
  }
  w.run(3000ms);
}

}  // namespace mosskeel::sim
