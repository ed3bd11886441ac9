#include "replication/heartbeat_acknowledgements.hpp"

#include <algorithm>

namespace mosskeel {

const Address& heartbeat_address(const Daemon& daemon) {
  return daemon.self.agent_address.empty() ? daemon.self.address : daemon.self.agent_address;
}

void HeartbeatAcknowledgements::record(const Address& from, Incarnation incarnation, Epoch epoch, TimePoint sent) {
  Acknowledgement acknowledgement{sent, incarnation};
  if (epoch <= metadata_log_.epoch())
    return count(from, acknowledgement);
  // Keeps the first reply: if each later one replaced it, the log might never reach the latest epoch.
  pending_.try_emplace(from, PendingAcknowledgement{acknowledgement, epoch});
}

void HeartbeatAcknowledgements::on_log_advanced() {
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    if (entry->second.epoch > metadata_log_.epoch()) {
      ++entry;
      continue;
    }
    count(entry->first, entry->second.acknowledgement);
    entry = pending_.erase(entry);
  }
}

void HeartbeatAcknowledgements::count(const Address& from, const Acknowledgement& acknowledgement) {
  auto& last = acknowledgements_[from];
  if (last.sent < acknowledgement.sent)
    last = acknowledgement;
  if (!confirmed_ && metadata_log_.view()->cluster)
    confirmed_ = last_core_contact() >= started_at_;
}

TimePoint HeartbeatAcknowledgements::majority_time(const std::vector<DaemonId>& daemons) const {
  std::vector<TimePoint> times;
  for (auto id : daemons) {
    auto* daemon = metadata_log_.view()->find(id);
    if (!daemon || daemon->self.incarnation == self_.incarnation || heartbeat_address(*daemon) == self_.address)
      continue;
    auto entry = acknowledgements_.find(heartbeat_address(*daemon));
    // A gateway's agent replies with its own incarnation.
    bool is_from_it = entry != acknowledgements_.end() &&
                      (daemon->self.role == Role::gateway || entry->second.incarnation == daemon->self.incarnation);
    times.push_back(is_from_it ? entry->second.sent : kNeverAcknowledged);
  }
  if (times.empty())
    return kNeverAcknowledged;
  std::sort(times.rbegin(), times.rend());
  return times[majority_of(times.size()) - 1];
}

TimePoint HeartbeatAcknowledgements::fleet_contact(const std::vector<DaemonId>& quorum_members) const {
  auto contact = majority_time(quorum_members);
  auto stores = metadata_log_.view()->stores_among(quorum_members);
  return stores.empty() ? contact : std::min(contact, majority_time(stores));
}

TimePoint HeartbeatAcknowledgements::last_core_contact() const {
  return majority_time(metadata_log_.view()->members);
}

TimePoint HeartbeatAcknowledgements::last_majority_contact() const {
  auto& metadata = *metadata_log_.view();
  if (!metadata.cluster)
    return kNeverAcknowledged;
  auto quorum_contact = fleet_contact(metadata.quorum_members);
  if (!metadata.incoming_quorum_members.empty())
    quorum_contact = std::min(quorum_contact, fleet_contact(metadata.incoming_quorum_members));
  return std::max(last_core_contact(), quorum_contact);
}

}  // namespace mosskeel
