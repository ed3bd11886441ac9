#include "sim/day.hpp"

namespace mosskeel::sim {

void Day::close() {
  w.heal();
  w.net.loss = w.net.twice = 0;
  for (auto k : {Kind::marker, Kind::recorder, Kind::lineman, Kind::switchboard})
    for (auto& s : w.names(k)) {
      w.wake(s);
      w.node(s).disk.slow = 0;
      if (!w.node(s).machine) w.start(s);
    }
  for (auto& [n, r] : c.replicas) r.up = true, r.fault.clear(), r.every = 0;
  bool served = false;
  auto once = std::make_shared<std::function<void()>>();
  *once = [this, once, &served] {
    c.turn("closing" + std::to_string(w.roll()), "main", [&served, once](const Turn& x) {
      if (x.success) served = true;
      else (*once)();
    });
  };
  (*once)();
  if (!w.until(12000, [&] { return served; })) w.fail("not serving 12 s after the closing fault");
  w.run(1000);
  *once = [] {};
  c.judge();
}

}  // namespace mosskeel::sim
