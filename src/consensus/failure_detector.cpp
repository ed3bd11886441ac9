#include "consensus/failure_detector.hpp"

#include <algorithm>

namespace mosskeel {

void FailureDetector::record(const Heartbeat& heartbeat, TimePoint now) {
  PeerStatus& status = peers_[heartbeat.self.incarnation];
  status.last_heartbeat_at = now;
  status.known_epoch = std::max(status.known_epoch, heartbeat.known);
  status.load = heartbeat.load;
  status.streamed_epoch = heartbeat.streamed;
  status.running = heartbeat.running;
  status.self = heartbeat.self;
  status.incomplete_comparisons = heartbeat.incomplete_comparisons;
  status.leaving = heartbeat.leaving;
}

const PeerStatus* FailureDetector::status_of(Incarnation incarnation) const {
  auto peer = peers_.find(incarnation);
  return peer == peers_.end() ? nullptr : &peer->second;
}

Duration FailureDetector::heartbeat_age(const Daemon& daemon, TimePoint now) const {
  const PeerStatus* status = status_of(daemon.self.incarnation);
  return now - (status ? status->last_heartbeat_at : start_);
}

HeartbeatAges FailureDetector::heartbeat_ages(const Metadata& metadata, TimePoint now) const {
  HeartbeatAges ages;
  for (const auto& [id, daemon] : metadata.directory)
    if (daemon.state != DaemonState::left)
      ages[id] = heartbeat_age(daemon, now).count();
  return ages;
}

bool FailureDetector::superseded(const Daemon& daemon, TimePoint now) const {
  const PeerStatus* own = status_of(daemon.self.incarnation);
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
    const PeerStatus& status = peer.second;
    bool at_same_address = peer.first != daemon.self.incarnation && status.self.address == daemon.self.address;
    bool recent = now - status.last_heartbeat_at < kHeartbeatTimeout;
    return at_same_address && recent && (!own || status.last_heartbeat_at > own->last_heartbeat_at);
  });
}

}  // namespace mosskeel
