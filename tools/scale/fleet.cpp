#include "scale/fleet.hpp"

#include <algorithm>
#include <cstdio>
#include <sstream>
#include <thread>

#include "base/json.hpp"
#include "base/log.hpp"
#include "replication/constants.hpp"
#include "scale/run.hpp"

namespace mosskeel::scale {
namespace {

local_cluster::Plan plan(const FleetAsk& a) {
  local_cluster::Plan p;
  p.controllers = a.plan.controllers, p.fronts = real_fronts, p.stores = real_stores, p.models = p.apps = 0;
  p.zones = a.plan.zones, p.dir = a.out + "/data", p.bin = a.bin, p.base = a.base;
  return p;
}

}  // namespace

std::string numbers(int from, int to) {
  std::string s;
  for (int i = from; i < to; ++i)
    s += " " + std::to_string(i);
  return s;
}

void wait(Millis ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

Run::Run(const FleetAsk& a)
    : a_(a), cluster_(plan(a)), voice_(a), csv_(a.out + "/fleet.csv"), text_(a.out + "/fleet.txt") {
  csv_ << "step,figure,value\n";
}

int Run::play() {
  if (auto f = cluster_.start_all(); !f.empty())
    return fail(to_string(f)), 2;
  if (auto f = voice_.open(); !f.empty())
    return fail(to_string(f)), 2;
  auto hollow = a_;
  hollow.plan.daemons -= real_stores + real_fronts;
  for (int i = 0; i < hollow.plan.daemons; i += a_.many)
    crews_.push_back(std::make_unique<Crew>(hollow, i));
  founding();
  first_configuration();
  at_rest("rest");
  changes();
  newcomer();
  zone();
  restarts();
  region();
  at_rest("rest_after");
  values();
  put("run", "broken_invariants", broken_);
  return broken_ ? 1 : 0;
}

void Run::put(const std::string& step, const std::string& figure, double x) {
  csv_ << step << "," << figure << "," << x << std::endl;
  text_ << step << ": " << figure << " " << x << std::endl;
  printf("%s: %s %g\n", step.c_str(), figure.c_str(), x);
  fflush(stdout);
}

void Run::fail(const std::string& why) {
  ++broken_;
  text_ << "BROKEN " << why << std::endl;
  printf("BROKEN %s\n", why.c_str());
}

bool Run::calm(size_t daemons) {
  auto v = voice_.view();
  if (!v->cluster || !v->sequences.empty() || !v->incoming_quorum_members.empty() ||
      eligible_quorum_members(*v) != v->quorum_members)
    return false;
  size_t up = 0;
  for (auto& [id, d] : v->directory) {
    if (d.state == DaemonState::registered || d.state == DaemonState::draining)
      return false;
    up += d.state == DaemonState::up;
  }
  return up == daemons;
}

Millis Run::until_calm(const std::string& what, size_t daemons) {
  auto begun = machine_now();
  while (!calm(daemons)) {
    if (machine_now() - begun > calm_patience) {
      fail(what + ": the fleet is not calm");
      break;
    }
    wait(look);
  }
  return machine_now() - begun;
}

void Run::founding() {
  size_t n = static_cast<size_t>(a_.plan.controllers + real_stores + real_fronts);
  auto begun = machine_now();
  put("founding", "real.ms", static_cast<double>(until_calm("founding", n)));
  for (auto& c : crews_) {
    c->ask("start" + numbers(0, c->size()));
    n += static_cast<size_t>(c->size());
    put("founding", "to_" + std::to_string(n) + ".ms", static_cast<double>(until_calm("founding", n)));
  }
  put("founding", "ms", static_cast<double>(machine_now() - begun));
  put("founding", "epochs", static_cast<double>(voice_.view()->epoch.value()));
}

void Run::first_configuration() {
  auto r = voice_.commit(UpdateReplicas{replicas(a_.plan), {}});
  if (!r.yes)
    fail("the list of replicas: " + r.reason);
  put("configuration", "replicas.ack.ms", static_cast<double>(r.acked - r.begun));
  auto v = voice_.view();
  auto m = configuration(a_.plan);
  r = voice_.commit(ApplyConfiguration{v->revision, m, {}});
  if (!r.yes)
    fail("the first configuration: " + r.reason);
  put("configuration", "configuration.ack.ms", static_cast<double>(r.acked - r.begun));
  wait(kIsolationTimeout);
  v = voice_.view();
  for (auto& [k, n] : tables(*v))
    if (n > 1000)
      put("configuration", "bytes." + k, static_cast<double>(n));
  put("configuration", "bytes.json", static_cast<double>(json::write(m).dump().size()));
}

void Run::at_rest(const std::string& step) {
  auto sent = [&] {
    double n = 0;
    for (auto& c : crews_) {
      std::istringstream s(c->ask("state"));
      double x = 0;
      s >> x;
      n += x;
    }
    return n;
  };
  std::map<std::string, Use> before;
  for (auto& p : cluster_.list())
    before[p.name] = use_of(p.pid);
  auto n = sent();
  auto begun = machine_now();
  wait(rest_window);
  auto seconds = static_cast<double>(machine_now() - begun) / 1000;
  put(step, "hollow.messages_out_each_a_second",
      (sent() - n) / seconds / static_cast<double>(a_.plan.daemons - real_stores - real_fronts));
  for (auto& p : cluster_.list()) {
    auto u = use_of(p.pid);
    put(step, p.name + ".core_percent", (u.cpu_s - before[p.name].cpu_s) / seconds * 100);
    put(step, p.name + ".rss_mb", u.rss_mb);
  }
  Use h;
  for (auto& c : crews_) {
    auto u = use_of(c->pid());
    h.rss_mb += u.rss_mb, h.cpu_s += u.cpu_s;
  }
  put(step, "hollow.rss_mb.all", h.rss_mb);
}

std::vector<double> Run::in_force(Epoch e, Millis begun) {
  std::vector<double> v;
  auto until = machine_now() + calm_patience / 10;
  while (true) {
    v.clear();
    bool whole = true;
    for (auto& c : crews_) {
      std::istringstream s(c->ask("known " + std::to_string(e.value())));
      for (Millis x; s >> x;)
        whole = whole && x >= 0, v.push_back(static_cast<double>(x - begun));
    }
    if (whole)
      break;
    if (machine_now() > until) {
      fail("epoch " + std::to_string(e.value()) + " is not in force everywhere");
      break;
    }
    wait(look);
  }
  std::sort(v.begin(), v.end());
  return v;
}

Voice::Verdict Run::one_change() {
  auto v = voice_.view();
  auto m = v->configuration;
  m.cells[0].budget += 1;
  auto r = voice_.commit(ApplyConfiguration{v->revision, m, {}});
  if (r.yes)
    promised_ = std::max(promised_, voice_.view()->revision);
  return r;
}

void Run::changes() {
  std::vector<double> every, acks;
  for (int i = 0; i < a_.changes; ++i) {
    auto r = one_change();
    if (!r.yes) {
      fail("a change: " + r.reason);
      continue;
    }
    acks.push_back(static_cast<double>(r.acked - r.begun));
    auto v = in_force(r.at, r.begun);
    every.insert(every.end(), v.begin(), v.end());
    wait(kIsolationTimeout);
  }
  distribution("change", every);
  std::sort(acks.begin(), acks.end());
  if (!acks.empty())
    put("change", "ack.ms.p50", acks[acks.size() / 2]), put("change", "ack.ms.max", acks.back());
}

void Run::distribution(const std::string& step, std::vector<double> v) {
  if (v.empty())
    return;
  std::sort(v.begin(), v.end());
  auto at = [&](double q) {
    return v[static_cast<size_t>(q * static_cast<double>(v.size() - 1))];
  };
  put(step, "in_force.samples", static_cast<double>(v.size()));
  for (auto q : {0.5, 0.95, 0.99, 1.0})
    put(step, "in_force.ms.p" + std::to_string(static_cast<int>(q * 100)), at(q));
  Curve c{step, {}};
  for (int i = 0; i <= 100; ++i)
    c.points.push_back({at(i / 100.0), static_cast<double>(i)});
  curves_.push_back(c);
  write_svg(a_.out + "/in_force.svg", "A change in force at the hollow daemons", "ms after it was asked for",
            "per cent of the daemons", curves_);
}

int fleet(const FleetAsk& a) {
  start_log("scale");
  auto b = a;
  b.plan.daemons = std::max(b.plan.daemons, real_stores + real_fronts + 1);
  return Run(b).play();
}

}  // namespace mosskeel::scale
