// Scenarios of whole zones, cores and crowds.
#include "sim/day.hpp"

namespace mosskeel::sim {
namespace {

/// Serving must go on between two moments of a trouble.
void must_serve(Day& d, Millis ms, const char* during) {
  auto before = d.c.successes;
  d.w.run(ms);
  if (d.c.successes < before + 5) d.w.fail(std::string("hardly served during ") + during + ": " + std::to_string(d.c.successes - before));
}

View latest(World& w) {
  View v;
  for (auto& s : w.names(Kind::marker))
    if (w.node(s).machine && (!v || w.node(s).machine->view()->epoch > v->epoch)) v = w.node(s).machine->view();
  return v;
}

/// One acknowledged change of the manifest; its revision, or 0.
uint64_t change(Day& d, Millis patience) {
  auto v = latest(d.w);
  if (!v || v->manifest.cells.empty()) return 0;
  auto m = v->manifest;
  m.cells[0].retention_ms += 1;
  auto got = std::make_shared<uint64_t>(0);
  auto over = std::make_shared<bool>(false);
  d.c.commit(ApplyManifest{v->revision, m}, [=](const CommitReply& r) {
    if (r.outcome == Outcome::yes) *got = v->revision.v + 1;
    *over = true;
  }, "", patience);
  d.w.until(patience + 100, [=] { return *over; });
  return *got;
}

void in_force(Day& d, uint64_t revision, Millis within) {
  auto& w = d.w;
  auto good = [&] {
    for (auto& s : w.names(Kind::switchboard))
      if (w.node(s).machine && w.node(s).machine->view()->revision.v < revision) return false;
    return true;
  };
  if (!w.until(within, good)) w.fail("revision " + std::to_string(revision) + " was acknowledged and is not in force");
}

}  // namespace

/// The core falls into parts, whole and one-way.
void split(Day& d) {
  auto& w = d.w;
  d.c.traffic(100, w.now() + 25000);
  for (int i = 0; i < 4; ++i) {
    w.run(1500);
    auto v = w.names(Kind::marker);
    auto k = 1 + w.roll() % 4;
    bool one_way = w.chance(0.4);
    for (size_t a = 0; a < k; ++a)
      for (size_t b = k; b < v.size(); ++b) {
        w.cut(v[a], v[b]);
        if (!one_way) w.cut(v[b], v[a]);
      }
    if (auto r = change(d, 4000)) in_force(d, r, 2000);
    must_serve(d, 2500, "a split of the core");
    w.heal();
  }
  w.run(3000);
}

/// Everything in one zone loses power at once and comes back much later.
void zone_lost(Day& d) {
  auto& w = d.w;
  d.c.traffic(100, w.now() + 28000);
  w.run(2000);
  std::string z(1, static_cast<char>('a' + w.below(3)));
  std::vector<std::string> gone;
  for (auto k : {Kind::marker, Kind::recorder, Kind::lineman, Kind::switchboard})
    for (auto& s : w.names(k))
      if (w.node(s).id.self.zone == z) w.power_off(s), gone.push_back(s);
  for (auto& [n, r] : d.c.replicas)
    if (r.zone == z) r.up = false;
  w.run(7000);
  must_serve(d, 5000, "the loss of a zone");
  if (auto r = change(d, 8000)) in_force(d, r, 2000);
  else w.fail("no change was accepted with one zone lost");
  for (auto& s : gone) w.start(s);
  for (auto& [n, r] : d.c.replicas) r.up = true;
  w.run(10000);
}

/// All markers are gone for a while; the fleet serves on the last view.
void coreless(Day& d) {
  auto& w = d.w;
  d.c.traffic(100, w.now() + 25000);
  w.run(2000);
  for (auto& s : w.names(Kind::marker)) w.power_off(s);
  w.run(4000);
  must_serve(d, 10000, "the loss of the whole core");
  for (auto& s : w.names(Kind::marker)) w.start(s);
  w.run(5000);
  if (!change(d, 10000)) w.fail("the core did not come back");
}

/// Replicas come back cold, one after the other, under load.
void cold(Day& d) {
  auto& w = d.w;
  d.c.traffic(25, w.now() + 25000);
  w.run(1000);
  for (int i = 1; i <= 3; ++i) {
    auto n = "model" + std::to_string(i);
    auto& r = d.c.replicas[n];
    d.c.commit(SetReplica{{n, "model", r.zone, "http://" + n, Fitness::cold, {}}}, [&](const CommitReply& c) {
      if (c.outcome == Outcome::yes) r.cold_since = w.now(), r.from.clear();
    });
    w.run(limits::cold_ramp - 500);
    auto v = latest(w);
    if (v && v->replicas.at(n).fitness != Fitness::cold) w.fail(n + " was called ready before its ramp was over");
    r.cold_since = 0;
  }
  auto ready = [&] { return latest(w)->replicas.at("model1").fitness == Fitness::ready; };
  if (!w.until(10000, ready)) w.fail("a cold replica never became ready");
}

/// A crowd far beyond what the replicas can do, with urgent jobs among it.
void rush(Day& d) {
  auto& w = d.w;
  d.c.pace = 900;
  d.c.urgent_share = 20;
  d.c.tries = 3;
  d.c.helpers = false;
  d.c.traffic(100, w.now() + 5000);
  w.run(5000);
  d.c.traffic(4, w.now() + 10000);
  auto before = d.c.successes;
  w.run(10000);
  auto done = d.c.successes - before;
  if (done < 200) w.fail("goodput fell under the crowd: " + std::to_string(done));
  if (d.c.refusals < 50) w.fail("nothing was refused, so this was no crowd");
  if (d.c.slowest_refusal > limits::queue_patience + 1000) w.fail("a refusal was held back " + std::to_string(d.c.slowest_refusal) + " ms");
  w.run(45000);
  d.c.tries = 12;
  d.c.pace = 40;
  if (d.c.urgent_done * 10 < d.c.urgent_asked * 5) w.fail("urgent turns starve: " + std::to_string(d.c.urgent_done) + " of " + std::to_string(d.c.urgent_asked));
}

/// The core loses power right after each acknowledgement.
void power_after_ack(Day& d) {
  auto& w = d.w;
  d.c.traffic(150, w.now() + 40000);
  for (int i = 0; i < 5; ++i) {
    w.run(500 + w.below(1000));
    auto r = change(d, 10000);
    auto all = w.names(Kind::marker);
    for (auto& s : all) w.power_off(s);
    if (w.chance(0.5)) w.power_off(d.any(Kind::recorder));
    if (i == 2) w.wipe(all[w.roll() % all.size()]);
    w.run(500 + w.below(1500));
    for (auto& s : all) w.start(s), w.node(s).disk.slow = w.chance(0.5) ? w.below(200) : 0;
    for (auto& s : w.names(Kind::recorder)) w.start(s);
    if (r) in_force(d, r, 8000);
  }
  w.run(5000);
}

/// Two of three core machines lose their disks right after an acknowledgement.
void core_majority_lost(Day& d) {
  auto& w = d.w;
  d.c.traffic(150, w.now() + 25000);
  w.run(2000);
  auto r = change(d, 10000);
  if (!r) w.fail("the change was not acknowledged");
  auto v = w.names(Kind::marker);
  auto stay = w.roll() % v.size();
  for (size_t i = 0; i < v.size(); ++i)
    if (i != stay) w.wipe(v[i]);
  w.run(500 + w.below(1500));
  for (auto& s : v) w.start(s);
  w.run(12000);
  if (latest(w)->generation != 2) w.fail("the core was not founded anew");
  auto now = change(d, 10000);
  if (now <= r) w.fail("no change is accepted after the core's re-founding");
  in_force(d, now, 2000);
}

/// Two of three core machines never come back; the operator founds the core anew, then one returns.
void rebuild(Day& d) {
  auto& w = d.w;
  d.c.traffic(150, w.now() + 25000);
  w.run(2000);
  auto r = change(d, 10000);
  auto v = w.names(Kind::marker);
  auto stay = v[w.roll() % v.size()];
  auto ask = [&](std::vector<DaemonId> lost) {
    CommitReply got{};
    got.outcome = Outcome::unknown;
    auto old = w.local;
    w.local = [&](Node&, const Envelope& e) {
      if (e.to == "local:op") got = std::get<CommitReply>(e.body);
    };
    Envelope e{};
    e.from = "local:op";
    e.body = Rebuild{"rebuild", std::move(lost)};
    w.post(stay, e);
    w.local = old;
    return got;
  };
  std::vector<DaemonId> lost;
  for (auto& s : v)
    if (s != stay) lost.push_back(latest(w)->at(s)->id);
  if (ask(lost).outcome != Outcome::no) w.fail("a rebuild was taken while a majority lives");
  for (auto& s : v)
    if (s != stay) w.power_off(s);
  w.run(6000);
  if (ask({lost[0]}).outcome != Outcome::no) w.fail("a rebuild was taken though a silent member was not named");
  if (auto a = ask(lost); a.outcome != Outcome::yes) w.fail("the rebuild was refused: " + a.reason);
  w.run(5000);
  auto now = change(d, 10000);
  if (now <= r) w.fail("no change is accepted after the rebuild");
  for (auto& s : v)
    if (s != stay) {
      w.start(s);
      break;
    }
  w.run(5000);
  auto later = change(d, 10000);
  if (later <= now) w.fail("an old member that came back stands in the way");
  in_force(d, later, 2000);
  for (auto& s : v)
    if (s != stay) w.wipe(s);
}

/// All stores are slow, fronts die often, and now and then all stores lose power at once.
void slow_disks(Day& d) {
  auto& w = d.w;
  d.c.traffic(80, w.now() + 25000);
  for (int i = 0; i < 8; ++i) {
    for (auto& s : w.names(Kind::recorder)) w.node(s).disk.slow = 100 + w.below(300);
    w.run(1500 + w.below(1500));
    if (i % 2) {
      auto f = d.any(Kind::switchboard);
      for (auto& s : w.names(Kind::recorder)) w.power_off(s);
      w.kill(f);
      w.run(200);
      for (auto& s : w.names(Kind::recorder)) w.start(s);
      w.start(f);
    } else {
      auto f = d.any(Kind::switchboard);
      w.kill(f);
      w.run(500);
      w.start(f);
    }
  }
  w.run(6000);
}

/// Programs whose helpers all ask at once, against one small budget.
void many_helpers(Day& d) {
  auto& w = d.w;
  d.c.traffic(200, w.now() + 12000);
  for (int i = 0; i < 30; ++i) {
    auto p = "dive" + std::to_string(i);
    for (int h = 0; h < 8; ++h) d.c.turn(p, "h" + std::to_string(h), [](const Turn&) {});
    w.run(300);
  }
  w.run(5000);
}

/// The seeds are swapped for other core machines, and every daemon restarts.
void seeds_swapped(Day& d) {
  auto& w = d.w;
  d.c.traffic(100, w.now() + 25000);
  w.run(2000);
  w.seeds = {"marker4", "marker5", "marker99"};
  for (auto k : {Kind::marker, Kind::recorder, Kind::lineman})
    for (auto& s : w.names(k)) {
      w.kill(s);
      w.run(200);
      w.start(s);
      w.run(1200);
    }
  w.run(5000);
  if (!change(d, 10000)) w.fail("no change is accepted with swapped seeds");
}

}  // namespace mosskeel::sim
