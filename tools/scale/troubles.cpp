// What a year brings: a newcomer, a zone lost and back, restarts in a row, a region cut off.
#include <algorithm>
#include <sstream>

#include "consensus/constants.hpp"
#include "replication/constants.hpp"
#include "runtime/constants.hpp"
#include "scale/run.hpp"

namespace mosskeel::scale {

void Run::newcomer() {
  auto& c = *crews_.back();
  c.ask("stop 0");
  wait(kHeartbeatTimeout * 2);
  until_calm("newcomer gone", all() - 1);
  auto e = voice_.view()->epoch;
  auto begun = machine_now();
  c.ask("start 0");
  while (true) {
    std::istringstream s(c.ask("known " + std::to_string(e.value())));
    Millis x = -1;
    s >> x;
    if (x >= 0) {
      put("newcomer", "whole_value.ms", static_cast<double>(x - begun));
      break;
    }
    if (machine_now() - begun > calm_patience)
      return fail("the newcomer never had the value");
    wait(kTickInterval / 4);
  }
  until_calm("newcomer", all());
  put("newcomer", "joined.ms", static_cast<double>(machine_now() - begun));
}

void Run::zone() {
  size_t crews = std::max<size_t>(1, static_cast<size_t>(a_.plan.daemons / a_.plan.zones / a_.many)), gone = 0;
  auto begun = machine_now();
  auto e = voice_.view()->epoch;
  for (size_t i = 0; i < crews; ++i) {
    crews_[i]->ask("stop" + numbers(0, crews_[i]->size()));
    gone += static_cast<size_t>(crews_[i]->size());
  }
  while (true) {
    auto v = voice_.view();
    size_t up = 0;
    for (auto& [id, d] : v->directory)
      up += d.state == DaemonState::up;
    if (up + gone <= all())
      break;
    if (machine_now() - begun > calm_patience)
      return fail("the zone was never marked down");
    wait(look);
  }
  put("zone", "daemons", static_cast<double>(gone));
  put("zone", "down.ms", static_cast<double>(machine_now() - begun));
  put("zone", "down.epochs", static_cast<double>(voice_.view()->epoch.value() - e.value()));
  until_calm("zone down", all() - gone);
  e = voice_.view()->epoch;
  for (size_t i = 0; i < crews; ++i)
    crews_[i]->ask("start" + numbers(0, crews_[i]->size()));
  put("zone", "back.ms", static_cast<double>(until_calm("zone back", all())));
  put("zone", "back.epochs", static_cast<double>(voice_.view()->epoch.value() - e.value()));
}

void Run::restarts() {
  std::vector<double> v;
  auto e = voice_.view()->epoch;
  auto bytes = codec::pack(*voice_.view()).size();
  for (int i = 0; i < a_.restarts; ++i) {
    auto& c = *crews_[static_cast<size_t>(i) % crews_.size()];
    auto k = std::to_string(i / static_cast<int>(crews_.size()) % c.size());
    c.ask("stop " + k);
    c.ask("start " + k);
    wait(kHeartbeatInterval);
    v.push_back(static_cast<double>(until_calm("restart", all()) + kHeartbeatInterval));
  }
  if (v.empty())
    return;
  std::sort(v.begin(), v.end());
  put("restarts", "count", static_cast<double>(v.size()));
  put("restarts", "one.ms.p50", v[v.size() / 2]);
  put("restarts", "one.ms.max", v.back());
  auto now = voice_.view();
  put("restarts", "epochs.one", static_cast<double>(now->epoch.value() - e.value()) / static_cast<double>(v.size()));
  put("restarts", "value_bytes.one",
      (static_cast<double>(codec::pack(*now).size()) - static_cast<double>(bytes)) / static_cast<double>(v.size()));
}

void Run::region() {
  auto& c = *crews_.back();
  std::string cut = "cut";
  for (auto& p : cluster_.list())
    cut += " " + p.listen;
  for (int i = 0; i < a_.plan.daemons - real_stores - real_fronts - c.size(); ++i)
    cut += " " + local_port(a_, hollow_ports + i);
  cluster_.act("freeze", "controller2");
  auto rest = std::exchange(voice_.controllers, {voice_.controllers[0], voice_.controllers[2]});
  c.ask(cut);
  wait(cut_window / 2);
  int yes = 0;
  for (int i = 0; i < 2; ++i)
    yes += one_change().yes;
  put("region", "changes_acknowledged_while_cut", yes);
  wait(cut_window / 2);
  cluster_.act("wake", "controller2");
  auto healed = machine_now();
  c.ask("cut");
  put("region", "cut_off", c.size());
  auto e = voice_.view()->epoch;
  voice_.controllers = std::exchange(rest, {});
  auto v = in_force(e, healed);
  std::erase_if(v, [](auto x) { return x < 0; });
  put("region", "had_to_catch_up", static_cast<double>(v.size()));
  distribution("region", v);
  put("region", "calm.ms", static_cast<double>(until_calm("region back", all())));
}

void Run::values() {
  wait(kIsolationTimeout);
  auto v = voice_.view();
  auto want = std::to_string(v->epoch.value()) + ":" + fingerprint(*v);
  size_t same = 0, n = 0;
  for (auto& c : crews_) {
    std::istringstream s(c->ask("values"));
    for (std::string x; s >> x; ++n)
      same += x == want;
    std::istringstream t(c->ask("state"));
    double sent = 0, dropped = 0, broken = 0;
    t >> sent >> dropped >> broken;
    if (broken > 0)
      fail("an epoch went backwards");
  }
  put("values", "hollow", static_cast<double>(n));
  put("values", "equal", static_cast<double>(same));
  if (same != n)
    fail("not all hold the same value at epoch " + std::to_string(v->epoch.value()));
  if (v->revision < promised_)
    fail("an acknowledged revision is lost");
  for (auto& p : cluster_.list())
    if (!p.pid)
      fail(p.name + " has died");
}

}  // namespace mosskeel::scale
