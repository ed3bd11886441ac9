#include "consensus/majority_observation.hpp"

#include "consensus/constants.hpp"
#include "replication/constants.hpp"

namespace mosskeel {

bool MajorityObservation::majority_agrees(const Daemon& daemon, TimePoint now,
                                          const std::function<bool(Duration heartbeat_age)>& agrees) const {
  const Metadata& metadata = *metadata_log_.view();
  size_t agreeing = 0;
  for (const auto& [member, observation] : lease_.observations()) {
    bool current = now - observation.received_at < kSupervisorLeaseDuration;
    if (!current || !metadata.is_core_member(member))
      continue;
    auto age = observation.heartbeat_ages.find(daemon.id);
    if (age != observation.heartbeat_ages.end() && agrees(Duration(age->second)))
      ++agreeing;
  }
  return agreeing >= majority_of(metadata.members.size());
}

bool MajorityObservation::is_silent(const Daemon& daemon, Duration timeout, TimePoint now) const {
  return majority_agrees(daemon, now, [&](Duration heartbeat_age) { return heartbeat_age >= timeout; });
}

bool MajorityObservation::has_majority_contact(const Daemon& daemon, TimePoint now) const {
  return majority_agrees(daemon, now, [](Duration heartbeat_age) { return heartbeat_age < kHeartbeatInterval * 3; });
}

}  // namespace mosskeel
