// Scenarios in which the core is lost, in part or whole.
#include "simulation/day.hpp"

namespace mosskeel::sim {

/// The core loses power right after each acknowledgement.
void power_after_ack(Day& d) {
  auto& w = d.w;
  d.c.traffic(150ms, w.now() + 40000ms);
  for (int i = 0; i < 5; ++i) {
    w.run(500ms + w.below(1000ms));
    auto r = change(d, 10000ms);
    auto all = w.names(Kind::controller);
    for (auto& s : all)
      w.power_off(s);
    if (w.chance(0.5))
      w.power_off(d.any(Kind::store));
    if (i == 2)
      w.wipe(all[w.next_random() % all.size()]);
    w.run(500ms + w.below(1500ms));
    for (auto& s : all)
      w.start(s), w.node(s).disk.slow = w.chance(0.5) ? w.below(200ms) : 0ms;
    for (auto& s : w.names(Kind::store))
      w.start(s);
    if (r)
      in_force(d, r, 8000ms);
  }
  w.run(5000ms);
}

/// Two of three core machines lose their disks right after an acknowledgement.
void core_majority_lost(Day& d) {
  auto& w = d.w;
  d.c.traffic(150ms, w.now() + 25000ms);
  w.run(2000ms);
  auto r = change(d, 10000ms);
  if (!r)
    w.fail("the change was not acknowledged");
  auto v = w.names(Kind::controller);
  auto stay = w.next_random() % v.size();
  for (size_t i = 0; i < v.size(); ++i)
    if (i != stay)
      w.wipe(v[i]);
  w.run(500ms + w.below(1500ms));
  bool late = w.chance(0.5);
  if (late)
    w.power_off(v[stay]);
  for (auto& s : v)
    if (!late || s != v[stay])
      w.start(s);
  w.run(late ? 4000ms : 0ms);
  w.start(v[stay]);
  w.run(12000ms);
  if (latest(w)->generation != 2)
    w.fail("the core was not founded anew");
  auto now = change(d, 10000ms);
  if (now <= r)
    w.fail("no change is accepted after the core's re-founding");
  in_force(d, now, 2000ms);
}

/// Two of three core machines never come back; the operator founds the core anew, then one returns.
void rebuild(Day& d) {
  auto& w = d.w;
  d.c.traffic(150ms, w.now() + 25000ms);
  w.run(2000ms);
  auto r = change(d, 10000ms);
  auto v = w.names(Kind::controller);
  auto stay = v[w.next_random() % v.size()];
  auto ask = [&](std::vector<DaemonId> lost) {
    CommitReply got{};
    got.outcome = CommitOutcome::unknown;
    auto old = w.local;
    w.local = [&](Node&, const Envelope& e) {
      if (e.to == "local:op")
        got = std::get<CommitReply>(e.body);
    };
    Envelope e{};
    e.from = "local:op";
    e.body = RefoundRequest{"rebuild", std::move(lost)};
    w.post(stay, e);
    w.local = old;
    return got;
  };
  std::vector<DaemonId> lost;
  for (auto& s : v)
    if (s != stay)
      lost.push_back(latest(w)->find_at(s)->id);
  if (ask(lost).outcome != CommitOutcome::rejected)
    w.fail("a rebuild was taken while a majority lives");
  for (auto& s : v)
    if (s != stay)
      w.power_off(s);
  w.run(6000ms);
  if (ask({lost[0]}).outcome != CommitOutcome::rejected)
    w.fail("a rebuild was taken though a silent member was not named");
  if (auto a = ask(lost); a.outcome != CommitOutcome::committed)
    w.fail("the rebuild was refused: " + a.reason);
  w.run(5000ms);
  auto now = change(d, 10000ms);
  if (now <= r)
    w.fail("no change is accepted after the rebuild");
  for (auto& s : v)
    if (s != stay) {
      w.start(s);
      break;
    }
  w.run(5000ms);
  auto later = change(d, 10000ms);
  if (later <= now)
    w.fail("an old member that came back stands in the way");
  in_force(d, later, 2000ms);
  for (auto& s : v)
    if (s != stay)
      w.wipe(s);
}

/// Right after an acknowledgement all disks but one are lost, those of controllers and stores alike; the one that stays
/// was in touch, and is enough. (Histories are not promised to survive this.)
void survivor(Day& d) {
  auto& w = d.w;
  d.closed = true;
  d.c.traffic(150ms, w.now() + 4000ms);
  w.run(2000ms);
  auto disks = w.names(Kind::controller);
  for (auto& s : w.names(Kind::store))
    disks.push_back(s);
  auto stay = disks[w.next_random() % disks.size()];
  auto other = d.any(Kind::store);
  if (w.chance(0.4)) {
    auto slow = 100ms + w.below(400ms);
    w.node(d.any(Kind::store)).disk.slow = slow;
  } else if (other != stay && w.chance(0.5))
    w.isolate(other);
  auto r = change(d, 10000ms);
  if (!r)
    w.fail("the change was not acknowledged");
  for (auto& s : disks)
    if (s == stay)
      w.power_off(s);
    else
      w.wipe(s);
  for (auto k : {Kind::agent, Kind::gateway})
    for (auto& s : w.names(k))
      w.power_off(s);
  w.heal();
  w.run(200ms + w.below(1000ms));
  for (auto k : {Kind::store, Kind::controller, Kind::agent, Kind::gateway})
    for (auto& s : w.names(k))
      w.start(s), w.node(s).disk.slow = {};
  auto back = [&] {
    auto v = latest(w);
    return v && v->revision.value() >= r;
  };
  if (!w.until(25000ms, back))
    w.fail("the acknowledged revision " + std::to_string(r) + " did not survive on " + stay);
  auto now = change(d, 20000ms);
  if (now <= r)
    w.fail("no change is accepted after the loss, " + stay + " stayed");
  else
    in_force(d, now, 2100ms);
}

/// The seeds are swapped for other core machines, and every daemon restarts.
void seeds_swapped(Day& d) {
  auto& w = d.w;
  d.c.traffic(100ms, w.now() + 25000ms);
  w.run(2000ms);
  w.seeds = {"controller4", "controller5", "controller99"};
  for (auto k : {Kind::controller, Kind::store, Kind::agent})
    for (auto& s : w.names(k)) {
      w.kill(s);
      w.run(200ms);
      w.start(s);
      w.run(1200ms);
    }
  w.run(5000ms);
  if (!change(d, 10000ms))
    w.fail("no change is accepted with swapped seeds");
}

}  // namespace mosskeel::sim
