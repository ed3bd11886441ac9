#include "consensus/supervisor.hpp"

#include <algorithm>

#include "consensus/constants.hpp"
#include "metadata/constants.hpp"
#include "replication/constants.hpp"
#include "runtime/constants.hpp"

namespace mosskeel {

void Supervisor::tick(TimePoint now) {
  if (!lease_.is_held(now)) {
    pending_commit_.clear();
    sequences_.on_lease_lost();
    warm_ups_.clear();
    return;
  }
  if (!pending_commit_.empty() && now < pending_until_)
    return;
  auto change = next_change(now);
  if (!change)
    return;
  pending_commit_ = "supervisor-" + hex(outbox_.next_random());
  pending_until_ = now + kCommitAttemptTimeout;
  outbox_.send(outbox_.id().self.address, Commit{pending_commit_, *change, metadata_log_.epoch()});
}

std::optional<Transformation> Supervisor::next_change(TimePoint now) {
  if (auto change = update_daemon_states(now))
    return change;
  if (auto change = core_membership_.next_change(now))
    return change;
  if (auto change = finish_warm_up(now))
    return change;
  if (auto change = update_quorum_membership())
    return change;
  return sequences_.next_change(now);
}

/// Marks daemons down whose heartbeats a majority of the members misses, and up again when a majority receives them.
std::optional<Transformation> Supervisor::update_daemon_states(TimePoint now) {
  const Metadata& metadata = *metadata_log_.view();
  // If this controller misses the heartbeats of most of the fleet, it may itself be the isolated one.
  bool isolated = !metadata.has_fleet_majority(
      [&](const Daemon& daemon) { return detector_.heartbeat_age(daemon, now) < kHeartbeatTimeout; });
  Duration timeout = isolated ? kIsolatedHeartbeatTimeout : kHeartbeatTimeout;
  for (const auto& [id, daemon] : metadata.directory) {
    bool spare_controller = daemon.state == DaemonState::registered && daemon.self.role == Role::controller;
    if (daemon.state == DaemonState::left || spare_controller)
      continue;
    bool superseded = daemon.self.role == Role::store && detector_.superseded(daemon, now);
    if (daemon.state != DaemonState::down && (superseded || majority_.is_silent(daemon, timeout, now))) {
      outbox_.log_event(Event::heartbeats_missed,
                        std::string(name(daemon.self.role)) + " daemon " + std::to_string(id.value()));
      return MarkDown{id};
    }
    if (daemon.state == DaemonState::down && !superseded && core_membership_.has_returned(daemon, now))
      return MarkUp{id};
  }
  return std::nullopt;
}

/// Marks a replica that belongs to no service as ready once every gateway must have seen it warm up for the full slow
/// start.
std::optional<Transformation> Supervisor::finish_warm_up(TimePoint now) {
  for (const auto& [replica_name, replica] : metadata_log_.view()->replicas) {
    if (replica.health != ReplicaHealth::warming_up || !replica.service.empty())
      continue;
    WarmUp& warm_up = warm_ups_[replica_name];
    if (warm_up.state_epoch != replica.since)
      warm_up = {replica.since, now};
    if (now - warm_up.since < kSlowStartDuration + kIsolationTimeout)
      continue;
    Replica ready = replica;
    ready.health = ReplicaHealth::ready;
    return SetReplica{ready};
  }
  return std::nullopt;
}

/// Changes the fleet's quorum members in two steps (joint consensus) when daemons were added or have left: majorities
/// of both sets are required until both know of the change.
std::optional<Transformation> Supervisor::update_quorum_membership() const {
  const Metadata& metadata = *metadata_log_.view();
  if (metadata.incoming_quorum_members.empty()) {
    if (eligible_quorum_members(metadata) == metadata.quorum_members)
      return std::nullopt;
    return BeginQuorumChange{};
  }
  auto knows_of_change = [&](const Daemon& daemon) {
    const PeerStatus* status = detector_.status_of(daemon.self.incarnation);
    return status && status->known_epoch >= metadata.quorum_change_epoch;
  };
  if (!metadata.has_quorum(knows_of_change))
    return std::nullopt;
  return FinishQuorumChange{metadata.quorum_change_epoch};
}

}  // namespace mosskeel
