#include "consensus/supervisor.hpp"
#include "consensus/constants.hpp"
#include "metadata/constants.hpp"
#include "replication/constants.hpp"
#include "runtime/constants.hpp"

#include <algorithm>

namespace mosskeel {

void Supervisor::tick(Millis now) {
  if (!lease_.held(now)) {
    busy_.clear();
    barrier_.clear();
    cold_.clear();
    return;
  }
  if (now < next_ || (!busy_.empty() && now < busy_until_))
    return;
  auto t = decide(now);
  if (!t)
    return;
  busy_ = "supervisor-" + hex(out_.roll());
  busy_until_ = now + kCommitAttemptTimeout;
  out_.send(out_.id().self.address, Commit{busy_, *t, metadata_log_.epoch()});
}

bool Supervisor::silent(const Daemon& d, Millis now, Millis limit) const {
  size_t n = 0;
  for (auto& [incarnation, s] : lease_.observers()) {
    auto i = s.second.find(d.id);
    if (now - s.first < kSupervisorLeaseDuration && metadata_log_.view()->is_core_member(incarnation) &&
        i != s.second.end() && i->second >= limit)
      ++n;
  }
  return n >= majority_of(metadata_log_.view()->members.size());
}

bool Supervisor::heard(const Daemon& d, Millis now) const {
  size_t n = 0;
  for (auto& [incarnation, s] : lease_.observers()) {
    auto i = s.second.find(d.id);
    if (now - s.first < kSupervisorLeaseDuration && metadata_log_.view()->is_core_member(incarnation) &&
        i != s.second.end() && i->second < kHeartbeatInterval * 3)
      ++n;
  }
  return n >= majority_of(metadata_log_.view()->members.size());
}

std::optional<Transformation> Supervisor::warm(Millis now) {
  for (auto& [n, r] : metadata_log_.view()->replicas) {
    if (r.health != ReplicaHealth::warming_up || !r.service.empty())
      continue;
    auto& c = cold_[n];
    if (c.first != r.since)
      c = {r.since, now};
    if (now - c.second < kSlowStartDuration + kIsolationTimeout)
      continue;
    auto x = r;
    x.health = ReplicaHealth::ready;
    return SetReplica{x};
  }
  return std::nullopt;
}

/// Newcomers count in touch and acknowledgements once a majority of the old and the new set knows of them.
std::optional<Transformation> Supervisor::count(Millis) const {
  auto& m = *metadata_log_.view();
  if (m.incoming_quorum_members.empty())
    return eligible_quorum_members(m) == m.quorum_members ? std::nullopt
                                                          : std::optional<Transformation>(BeginQuorumChange{});
  auto knows = [&](const Daemon& d) {
    auto* h = detector_.status_of(d.self.incarnation);
    return h && h->known_epoch >= m.quorum_change_epoch;
  };
  return m.has_quorum(knows) ? std::optional<Transformation>(FinishQuorumChange{m.quorum_change_epoch}) : std::nullopt;
}

std::optional<Transformation> Supervisor::decide(Millis now) {
  auto& m = *metadata_log_.view();
  bool alone = !m.has_quorum([&](const Daemon& d) { return detector_.heartbeat_age(d, now) < kHeartbeatTimeout; });
  auto limit = alone ? kIsolatedHeartbeatTimeout : kHeartbeatTimeout;
  for (auto& [id, d] : m.directory) {
    if (d.state == DaemonState::left || (d.state == DaemonState::registered && d.self.role == Role::controller))
      continue;
    bool superseded = d.self.role == Role::store && detector_.superseded(d, now);
    if (d.state != DaemonState::down && (superseded || silent(d, now, limit))) {
      out_.note(Event::heartbeats_missed, std::string(name(d.self.role)) + " daemon " + std::to_string(id.value()));
      return MarkDown{id};
    }
    if (d.state == DaemonState::down && !superseded && returned(d, now))
      return MarkUp{id};
  }
  if (auto t = core(now))
    return t;
  if (auto t = warm(now))
    return t;
  if (auto t = count(now))
    return t;
  return sequences(now);
}

}  // namespace mosskeel
