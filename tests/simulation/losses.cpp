// Losses of stores at the worst moments: right after an acknowledgement, in the middle of a leave, twice in a row.
#include <algorithm>

#include "simulation/day.hpp"

namespace mosskeel::sim {
namespace {

/// Within this time of a successor's start the next loss may come, on a deployment that bears two.
constexpr Duration catch_up = 6000ms;

/// All fronts end and start again, so that no owner's memory fills the gaps of the stores.
void forget_owners(Day& d) {
  auto& w = d.w;
  for (auto& f : w.names(Kind::gateway))
    w.kill(f);
  w.at(w.now() + 100ms, [&w] {
    for (auto& f : w.names(Kind::gateway))
      w.start(f);
  });
}

/// Whether this very daemon runs, and not another incarnation at its address.
bool runs(World& w, const Daemon& daemon) {
  return w.alive(daemon.self.address) && w.node(daemon.self.address).id.self.incarnation == daemon.self.incarnation;
}

/// The stores of a program's partition that run now.
std::vector<std::string> holders(Day& d, const std::string& program) {
  auto v = latest(d.w);
  std::vector<std::string> names;
  for (auto id : v->partitions[partition_of("news", program).value()].stores)
    if (auto* x = v->find(id); x && runs(d.w, *x))
      names.push_back(x->self.address);
  return names;
}

/// Every partition lies on its full number of stores, all of them up, and no sequence is under way.
bool whole(World& w) {
  auto v = latest(w);
  if (!v || !v->sequences.empty())
    return false;
  for (auto& s : v->partitions) {
    if (s.stores.size() < w.copies)
      return false;
    for (auto id : s.stores)
      if (auto* x = v->find(id); !x || x->state != DaemonState::up || !runs(w, *x))
        return false;
  }
  return true;
}

/// One turn, and at the very moment of its answer `loss` happens; the program's name, or nothing if none was served.
std::string lose_after_ack(Day& d, const std::function<void(const std::string&)>& loss) {
  auto& w = d.w;
  for (int i = 0; i < 10; ++i) {
    auto program = "acked" + std::to_string(w.next_random());
    auto over = std::make_shared<bool>(false), served = std::make_shared<bool>(false);
    d.c.turn(program, "main", [=](const Turn& t) {
      *over = true;
      *served = t.success;
      if (t.success)
        loss(program);
    });
    w.until(8000ms, [over] { return *over; });
    if (*served)
      return program;
  }
  w.fail("no turn was served");
  return "";
}

}  // namespace

/// Two machines may be lost at once: two stores of a partition lose their disks right after they acknowledged a turn,
/// again and again, each time as soon as the successors of the last loss have had their time to catch up.
void pair_wiped(Day& d) {
  auto& w = d.w;
  d.c.traffic(80ms, w.now() + 30000ms);
  w.run(2000ms);
  for (int round = 0; round < 3; ++round) {
    std::vector<std::string> lost;
    lose_after_ack(d, [&](const std::string& program) {
      auto v = holders(d, program);
      while (v.size() > 2)
        v.erase(v.begin() + static_cast<ptrdiff_t>(w.next_random() % v.size()));
      for (auto& s : v)
        w.wipe(s);
      lost = v;
      forget_owners(d);
    });
    w.run(300ms + w.below(700ms));
    for (auto& s : lost)
      w.start(s);
    auto started = w.now();
    if (!w.until(catch_up, [&] { return whole(w); }))
      w.fail("a partition lacks copies after the successors' time to catch up");
    d.exposed.push_back(w.now() - started);
    w.run(started + catch_up - w.now());
  }
}

/// Two stores of seven lose their disks right after they acknowledged a turn and nobody replaces them. The others take
/// their places; once that is done two more are lost, and what is left still serves and holds everything.
void unreplaced(Day& d) {
  auto& w = d.w;
  d.c.traffic(80ms, w.now() + 30000ms);
  w.run(2000ms);
  for (int round = 0; round < 2; ++round) {
    lose_after_ack(d, [&](const std::string& program) {
      auto v = holders(d, program);
      while (v.size() > 2)
        v.erase(v.begin() + static_cast<ptrdiff_t>(w.next_random() % v.size()));
      for (auto& s : v)
        w.wipe(s);
      forget_owners(d);
    });
    auto lost = w.now();
    if (round == 0 && !w.until(catch_up, [&] { return whole(w); }))
      w.fail("the others did not take the places of two lost stores");
    if (round == 0)
      d.exposed.push_back(w.now() - lost);
  }
  w.run(2000ms);
  must_serve(d, 5000ms, "the loss of four stores of seven, two and two");
}

/// A store is emptied by order. In the middle, at any step, a store that is to take places loses its disk, the leaver
/// freezes for a while, or the supervisor is lost. As soon as the log says that the store has left, its disk goes; and
/// once the other loss is made good, another store loses its disk. One loss at a time is borne.
void leaving(Day& d) {
  auto& w = d.w;
  d.c.traffic(80ms, w.now() + 40000ms);
  w.run(3000ms);
  auto leaver = d.any(Kind::store);
  auto id = latest(w)->find_at(leaver)->id;
  d.c.commit(PrepareDrain{id}, [](const CommitReply&) {});
  if (!w.until(5000ms, [&] { return latest(w)->sequences.count(id) > 0; }))
    return w.fail("the drain did not begin");
  w.run(w.below(400ms));
  std::string other;
  switch (w.next_random() % 3) {
    case 0:
      while (other.empty() || other == leaver)
        other = d.any(Kind::store);
      w.wipe(other);
      w.at(w.now() + 500ms, [&w, other] { w.start(other); });
      break;
    case 1:
      w.freeze(leaver);
      w.at(w.now() + 500ms + w.below(4000ms), [&w, leaver] { w.wake(leaver); });
      break;
    default:
      for (auto& s : w.names(Kind::controller))
        if (auto& m = static_cast<ControllerMachine&>(*w.node(s).machine); m.is_supervisor(w.clock(w.node(s)))) {
          w.power_off(s);
          w.at(w.now() + 6000ms, [&w, s] { w.start(s); });
          break;
        }
  }
  auto gone = [&] {
    auto v = latest(w);
    return v && v->find(id)->state == DaemonState::left && !v->holds_partitions(id);
  };
  if (!w.until(20000ms, gone))
    w.fail("the ordered drain did not come to its end");
  w.wipe(leaver);
  forget_owners(d);
  if (!w.until(12000ms, [&] { return whole(w); }))
    w.fail("a partition lacks copies long after the drain");
  auto next = leaver;
  while (next == leaver)
    next = d.any(Kind::store);
  w.wipe(next);
  forget_owners(d);
  w.run(500ms);
  w.start(next);
  auto started = w.now();
  if (!w.until(12000ms, [&] { return whole(w); }))
    w.fail("the copies of a lost store were not restored");
  d.exposed.push_back(w.now() - started);
}

/// A store freezes and wakes again and again, each time just long enough to be marked down. It must not set off a
/// repair each time.
void flapping(Day& d) {
  constexpr int most_sequences = 8;
  auto& w = d.w;
  d.c.traffic(80ms, w.now() + 60000ms);
  w.run(2000ms);
  auto store = d.any(Kind::store);
  std::set<Epoch> begun;
  for (int i = 0; i < 12; ++i) {
    w.freeze(store);
    auto until = w.now() + 3200ms + w.below(1500ms);
    auto look = [&] {
      for (auto& [id, sequence] : latest(w)->sequences)
        begun.insert(sequence.started_epoch);
      return false;
    };
    w.until(until - w.now(), look);
    w.wake(store);
    w.until(1000ms + w.below(1000ms), look);
  }
  if (begun.size() > most_sequences)
    w.fail(std::to_string(begun.size()) + " sequences for a store that comes and goes");
}

}  // namespace mosskeel::sim
