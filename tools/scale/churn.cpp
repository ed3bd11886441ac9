// What happens to a fleet: newcomers, restarts, a zone lost and back, a region cut off for a while.
#include <algorithm>

#include "consensus/constants.hpp"
#include "consensus/controller_machine.hpp"
#include "replication/constants.hpp"
#include "runtime/constants.hpp"
#include "scale/experiments.hpp"
#include "scale/field.hpp"

namespace mosskeel::scale {
namespace {

constexpr Millis settle = 4000, deadline = 900000;

struct Fronts {
  Fronts(Field& f) : f(f) {
    for (size_t i = 0; i < f.stations().size(); ++i)
      if (f.stations()[i].seat.part == Part::agent)
        v.push_back(i);
  }
  void stop(size_t agent) { f.stop(agent), f.stop(agent + 1); }
  void start(size_t agent) { f.start(agent, true), f.start(agent + 1, true); }
  Field& f;
  std::vector<size_t> v;
};

View core(Field& f) {
  return f.of(Part::controller, 0).machine->view();
}

/// Everybody who runs is up, nothing is under way, and all fronts serve.
bool calm(Field& f) {
  auto v = core(f);
  if (!v->sequences.empty() || !v->incoming_quorum_members.empty() || eligible_quorum_members(*v) != v->quorum_members)
    return false;
  for (auto& [id, d] : v->directory)
    if (d.state == DaemonState::registered || d.state == DaemonState::draining)
      return false;
  for (auto& s : f.stations())
    if (s.machine && s.seen != v->epoch)
      return false;
  return f.fronts_in_touch();
}

void account(Row& r, Field& f, Epoch before, Millis begun) {
  auto v = core(f);
  r.counts["epochs"] = static_cast<double>(v->epoch.value() - before.value());
  r.counts["seconds"] = static_cast<double>(f.now() - begun) / 1000;
  auto seconds = r.counts["seconds"];
  for (auto p : {Part::controller, Part::store, Part::agent}) {
    auto s = f.sum(p);
    auto n = static_cast<double>(f.all(p).size());
    Tally out, in;
    for (auto& [k, x] : s.out)
      out += x;
    for (auto& [k, x] : s.in)
      in += x;
    r.counts[std::string(name(p)) + ".out.byte"] = static_cast<double>(out.bytes) / n / seconds;
    r.counts[std::string(name(p)) + ".in.byte"] = static_cast<double>(in.bytes) / n / seconds;
    r.counts[std::string(name(p)) + ".msg"] = static_cast<double>(out.count + in.count) / n / seconds;
    r.times[std::string(name(p)) + ".core_percent"] = static_cast<double>(s.nanos) / 1e7 / n / seconds;
  }
  r.counts["value.byte"] = static_cast<double>(codec::pack(*v).size());
  r.counts["directory"] = static_cast<double>(v->directory.size());
  r.counts["failures"] = static_cast<double>(f.failures.size());
  for (auto& x : f.failures)
    fprintf(stderr, "%s: %s\n", r.what.c_str(), x.c_str());
}

bool commit(Field& f, size_t controller, Transformation t, const std::string& id) {
  auto v = f.stations()[controller].machine->view();
  bool yes = false;
  f.local = [&](Station&, const Envelope& x) {
    if (auto* c = std::get_if<CommitReply>(&x.body); c && c->id == id)
      yes = yes || c->outcome == CommitOutcome::committed;
  };
  Envelope e{};
  e.from = "local:" + id;
  e.cluster = v->cluster;
  e.epoch = v->epoch;
  e.body = Commit{id, std::move(t), v->epoch};
  f.post(controller, std::move(e));
  f.until(kCommitAttemptTimeout * 2, [&] { return yes; });
  f.local = nullptr;
  return yes;
}

}  // namespace

Row newcomer(const Plan& p, uint64_t seed, double size) {
  Row r{"newcomer", size, seed, {}, {}};
  Field f(p, seed);
  f.run(settle);
  Fronts v(f);
  v.stop(v.v.front());
  f.until(deadline, [&] { return calm(f); });
  f.forget();
  auto before = core(f)->epoch;
  auto begun = f.now();
  v.start(v.v.front());
  f.until(deadline, [&] { return f.stations()[v.v.front()].seen.value() > 0; });
  r.counts["value_after.ms"] = static_cast<double>(f.now() - begun);
  f.until(deadline, [&] { return calm(f); });
  Tally in;
  double whole = 0, value = static_cast<double>(codec::pack(*core(f)).size());
  for (auto& [k, x] : f.stations()[v.v.front()].t.in) {
    in += x;
    r.counts["in." + k + ".msg"] = static_cast<double>(x.count);
    r.counts["in." + k + ".byte"] = static_cast<double>(x.bytes);
  }
  whole = static_cast<double>(in.bytes) / value;
  account(r, f, before, begun);
  r.counts["in.byte"] = static_cast<double>(in.bytes);
  r.counts["values_received"] = whole;
  return r;
}

Row restarts(const Plan& p, int count, uint64_t seed, double size) {
  Row r{"restarts", size, seed, {}, {}};
  Field f(p, seed);
  f.run(settle);
  f.forget();
  Fronts v(f);
  auto before = core(f)->epoch;
  auto begun = f.now();
  auto bytes = static_cast<double>(codec::pack(*core(f)).size());
  std::vector<Millis> took;
  bool good = true;
  for (int i = 0; i < count && good; ++i) {
    auto k = v.v[static_cast<size_t>(i) % v.v.size()];
    v.stop(k);
    f.run(kHeartbeatInterval);
    auto at = f.now();
    v.start(k);
    good = f.until(deadline, [&] { return calm(f); });
    took.push_back(f.now() - at);
  }
  std::sort(took.begin(), took.end());
  account(r, f, before, begun);
  r.counts["done"] = static_cast<double>(took.size());
  r.counts["one.ms.p50"] = static_cast<double>(took[took.size() / 2]);
  r.counts["one.ms.max"] = static_cast<double>(took.back());
  r.counts["epochs.one"] = r.counts["epochs"] / static_cast<double>(took.size());
  r.counts["value.byte.one"] = (r.counts["value.byte"] - bytes) / static_cast<double>(took.size());
  return r;
}

Row zone_lost(const Plan& p, uint64_t seed, double size) {
  Row r{"zone", size, seed, {}, {}};
  Field f(p, seed);
  f.run(settle);
  f.forget();
  std::vector<size_t> gone;
  for (size_t i = 0; i < f.stations().size(); ++i)
    if (f.stations()[i].seat.zone == 1)
      gone.push_back(i);
  auto begun = f.now();
  auto before = core(f)->epoch;
  for (auto i : gone)
    f.stop(i);
  auto down = [&] {
    auto m = core(f);
    size_t n = 0, all = 0;
    for (auto i : gone)
      if (f.stations()[i].seat.part != Part::agent) {
        auto* d = m->find(f.stations()[i].seat.id.self.incarnation);
        ++all, n += d && (d->state == DaemonState::down || d->state == DaemonState::left);
      }
    return n == all;
  };
  r.counts["all_down"] = f.until(deadline, down);
  r.counts["down.ms"] = static_cast<double>(f.now() - begun);
  f.until(deadline, [&] { return calm(f); });
  auto back = f.now();
  r.counts["daemons"] = static_cast<double>(gone.size());
  r.counts["epochs.down"] = static_cast<double>(core(f)->epoch.value() - before.value());
  for (auto i : gone)
    f.start(i, true);
  r.counts["back"] = f.until(deadline, [&] { return calm(f); });
  r.counts["back.ms"] = static_cast<double>(f.now() - back);
  account(r, f, before, begun);
  return r;
}

Row region_cut(const Plan& p, int changes, uint64_t seed, double size) {
  Row r{"region", size, seed, {}, {}};
  Field f(p, seed);
  f.run(settle);
  f.forget();
  auto begun = f.now();
  auto before = core(f)->epoch;
  f.cut = [](const Station& a, const Station& b) {
    return a.seat.region != b.seat.region;
  };
  f.run(kIsolatedHeartbeatTimeout * 2);
  size_t serving = 0, cut_off = 0;
  for (auto& s : f.stations()) {
    if (s.seat.part != Part::gateway)
      continue;
    bool good = static_cast<GatewayMachine&>(*s.machine).ready(f.now());
    serving += good, cut_off += !good;
  }
  r.counts["serving"] = static_cast<double>(serving), r.counts["not_serving"] = static_cast<double>(cut_off);
  size_t majority = 0;
  for (auto i : f.all(Part::controller))
    if (static_cast<ControllerMachine&>(*f.stations()[i].machine).is_supervisor(f.now()))
      majority = i;
  int yes = 0;
  for (int i = 0; i < changes; ++i) {
    auto v = f.stations()[majority].machine->view();
    auto m = v->configuration;
    m.cells[0].budget += 1;
    yes += commit(f, majority, ApplyConfiguration{v->revision, m, {}}, "cut-" + std::to_string(i));
  }
  r.counts["acknowledged"] = yes;
  r.counts["changes"] = changes;
  r.counts["cut.epochs"] = static_cast<double>(f.stations()[majority].machine->view()->epoch.value() - before.value());
  auto healed = f.now();
  f.cut = nullptr;
  r.counts["back"] = f.until(deadline, [&] { return calm(f); });
  r.counts["back.ms"] = static_cast<double>(f.now() - healed);
  account(r, f, before, begun);
  return r;
}

}  // namespace mosskeel::scale
