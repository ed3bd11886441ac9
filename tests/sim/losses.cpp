// Losses of stores at the worst moments: right after an acknowledgement, in the middle of a leave, twice in a row.
#include <algorithm>

#include "sim/day.hpp"

namespace mosskeel::sim {
namespace {

/// Within this time of a successor's start the next loss may come, on a deployment that bears two.
constexpr Millis catch_up = 6000;

/// All fronts end and start again, so that no owner's memory fills the gaps of the stores.
void forget_owners(Day& d) {
  auto& w = d.w;
  for (auto& f : w.names(Kind::gateway)) w.kill(f);
  w.at(w.now() + 100, [&w] {
    for (auto& f : w.names(Kind::gateway)) w.start(f);
  });
}

/// The stores of a program's partition that run now.
std::vector<std::string> holders(Day& d, const std::string& program) {
  auto v = latest(d.w);
  std::vector<std::string> names;
  for (auto id : v->slots[slot_of("news", program).v].stores)
    if (auto* x = v->find(id); x && d.w.alive(x->self.addr)) names.push_back(x->self.addr);
  return names;
}

/// Every partition lies on its full number of stores, all of them up, and no sequence is under way.
bool whole(World& w) {
  auto v = latest(w);
  if (!v || !v->sequences.empty()) return false;
  for (auto& s : v->slots) {
    if (s.stores.size() < w.copies) return false;
    for (auto id : s.stores)
      if (auto* x = v->find(id); !x || x->state != DaemonState::up || !w.alive(x->self.addr)) return false;
  }
  return true;
}

/// One turn, and at the very moment of its answer `loss` happens; the program's name, or nothing if none was served.
std::string lose_after_ack(Day& d, const std::function<void(const std::string&)>& loss) {
  auto& w = d.w;
  for (int i = 0; i < 10; ++i) {
    auto program = "acked" + std::to_string(w.roll());
    auto over = std::make_shared<bool>(false), served = std::make_shared<bool>(false);
    d.c.turn(program, "main", [=](const Turn& t) {
      *over = true;
      *served = t.success;
      if (t.success) loss(program);
    });
    w.until(8000, [over] { return *over; });
    if (*served) return program;
  }
  w.fail("no turn was served");
  return "";
}

}  // namespace

/// Two machines may be lost at once: two stores of a partition lose their disks right after they acknowledged a turn,
/// again and again, each time as soon as the successors of the last loss have had their time to catch up.
void pair_wiped(Day& d) {
  auto& w = d.w;
  d.c.traffic(80, w.now() + 30000);
  w.run(2000);
  for (int round = 0; round < 3; ++round) {
    std::vector<std::string> lost;
    lose_after_ack(d, [&](const std::string& program) {
      auto v = holders(d, program);
      while (v.size() > 2) v.erase(v.begin() + static_cast<ptrdiff_t>(w.roll() % v.size()));
      for (auto& s : v) w.wipe(s);
      lost = v;
      forget_owners(d);
    });
    w.run(300 + w.below(700));
    for (auto& s : lost) w.start(s);
    w.run(catch_up);
    if (!whole(w)) w.fail("a partition lacks copies after the successors' time to catch up");
  }
}

}  // namespace mosskeel::sim
