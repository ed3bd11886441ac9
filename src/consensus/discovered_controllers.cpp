#include "consensus/discovered_controllers.hpp"

#include "consensus/constants.hpp"
#include "replication/constants.hpp"

namespace mosskeel {

void DiscoveredControllers::record(const DaemonInfo& candidate, TimePoint now) {
  if (candidate.role == Role::controller && candidate.incarnation != self_)
    peers_[candidate.incarnation] = {candidate, now};
}

void DiscoveredControllers::expire(TimePoint now) {
  std::erase_if(peers_, [&](const auto& peer) {
    return now - peer.second.last_seen_at > kDiscoveryInterval * kDiscoveryMemoryIntervals;
  });
}

}  // namespace mosskeel
