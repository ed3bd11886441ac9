#include "consensus/in_force.hpp"

#include <algorithm>

#include "consensus/constants.hpp"

namespace mosskeel {

std::string missing_acknowledgements(const Metadata& metadata, Incarnation self, const FailureDetector& detector,
                                     Epoch epoch, TimePoint now) {
  auto knows = [&](const Daemon& daemon) {
    if (daemon.self.incarnation == self)
      return metadata.epoch >= epoch;
    const PeerStatus* status = detector.status_of(daemon.self.incarnation);
    return status && status->known_epoch >= epoch;
  };
  auto members_that_know = std::count_if(metadata.members.begin(), metadata.members.end(),
                                         [&](DaemonId id) { return knows(*metadata.find(id)); });
  std::string missing;
  for (const auto& [id, daemon] : metadata.directory)
    if (daemon.state != DaemonState::left && !knows(daemon))
      missing += " " + std::to_string(id.value());
  if (static_cast<size_t>(members_that_know) < majority_of(metadata.members.size()))
    return "no majority of the core has it; missing:" + missing;
  if (!metadata.has_quorum(knows))
    return "no majority of the fleet or of its stores has it; missing:" + missing;
  for (const auto& [id, daemon] : metadata.directory) {
    bool has_disk = daemon.self.role != Role::gateway && daemon.state == DaemonState::up;
    bool is_reachable = detector.heartbeat_age(daemon, now) < kHeartbeatTimeout;
    if (has_disk && is_reachable && !knows(daemon))
      return "a disk in touch lacks it; missing:" + missing;
  }
  return "";
}

}  // namespace mosskeel
