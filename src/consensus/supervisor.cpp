#include "consensus/supervisor.hpp"

#include <algorithm>

namespace mosskeel {

void Supervisor::tick(Millis now) {
  if (!lease_.held(now)) {
    busy_.clear();
    barrier_.clear();
    cold_.clear();
    return;
  }
  if (now < next_ || (!busy_.empty() && now < busy_until_)) return;
  auto t = decide(now);
  if (!t) return;
  busy_ = "supervisor-" + hex(out_.roll());
  busy_until_ = now + limits::tcm_rpc;
  out_.send(out_.id().self.addr, Commit{busy_, *t, led_.epoch()});
}

bool Supervisor::silent(const Daemon& d, Millis now, Millis limit) const {
  size_t n = 0;
  for (auto& [inc, s] : lease_.observers()) {
    auto i = s.second.find(d.id);
    if (now - s.first < limits::supervisor_lease && led_.view()->member(inc) && i != s.second.end() &&
        i->second >= limit)
      ++n;
  }
  return n >= majority_of(led_.view()->members.size());
}

bool Supervisor::heard(const Daemon& d, Millis now) const {
  size_t n = 0;
  for (auto& [inc, s] : lease_.observers()) {
    auto i = s.second.find(d.id);
    if (now - s.first < limits::supervisor_lease && led_.view()->member(inc) && i != s.second.end() &&
        i->second < limits::heartbeat * 3)
      ++n;
  }
  return n >= majority_of(led_.view()->members.size());
}

std::optional<Transformation> Supervisor::core(Millis now) {
  auto& m = *led_.view();
  const Daemon* spare = nullptr;
  for (auto& [id, d] : m.directory)
    if (d.self.role == Role::controller && d.state == DaemonState::up && !m.member(d.self.inc) && heard(d, now))
      spare = &d;
  if (!spare) return std::nullopt;
  if (m.members.size() < m.core_size) return AdmitCore{spare->id};
  for (auto id : m.members)
    if (auto* d = m.find(id); d->state == DaemonState::down && detector_.silence(*d, now) > limits::replace_after)
      return ReplaceCore{id, spare->id};
  return std::nullopt;
}

std::optional<Transformation> Supervisor::warm(Millis now) {
  for (auto& [n, r] : led_.view()->replicas) {
    if (r.health != Health::cold || !r.service.empty()) continue;
    auto& c = cold_[n];
    if (c.first != r.since) c = {r.since, now};
    if (now - c.second < limits::cold_ramp + limits::isolation) continue;
    auto x = r;
    x.health = Health::ready;
    return SetReplica{x};
  }
  return std::nullopt;
}

/// Newcomers count in touch and acknowledgements once a majority of the old and the new set knows of them.
std::optional<Transformation> Supervisor::count(Millis) const {
  auto& m = *led_.view();
  if (m.incoming.empty()) return everybody(m) == m.quorum ? std::nullopt : std::optional<Transformation>(Recount{});
  auto knows = [&](const Daemon& d) {
    auto* h = detector_.of(d.self.inc);
    return h && h->known >= m.recounted;
  };
  return m.quorate(knows) ? std::optional<Transformation>(Recounted{m.recounted}) : std::nullopt;
}

std::optional<Transformation> Supervisor::decide(Millis now) {
  auto& m = *led_.view();
  bool alone = !m.quorate([&](const Daemon& d) { return detector_.silence(d, now) < limits::silence; });
  auto limit = alone ? limits::silence_many : limits::silence;
  for (auto& [id, d] : m.directory) {
    if (d.state == DaemonState::left || (d.state == DaemonState::registered && d.self.role == Role::controller))
      continue;
    bool superseded = d.self.role == Role::store && detector_.superseded(d, now);
    if (d.state != DaemonState::down && (superseded || silent(d, now, limit))) {
      out_.note(Event::node_silent, std::string(name(d.self.role)) + " daemon " + std::to_string(id.v));
      return MarkDown{id};
    }
    if (d.state == DaemonState::down && !superseded && heard(d, now)) return MarkUp{id};
  }
  if (auto t = core(now)) return t;
  if (auto t = warm(now)) return t;
  if (auto t = count(now)) return t;
  return sequences(now);
}

}  // namespace mosskeel
