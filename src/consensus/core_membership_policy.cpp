#include "consensus/core_membership_policy.hpp"

#include <algorithm>

#include "consensus/constants.hpp"
#include "metadata/constants.hpp"
#include "metadata/core_membership.hpp"
#include "replication/constants.hpp"

namespace mosskeel {

/// Sufficient because a daemon sends a heartbeat only after it has synced the log up to the epoch that it reports.
bool CoreMembershipPolicy::holds_log(const Daemon& daemon) const {
  const PeerStatus* status = detector_.status_of(daemon.self.incarnation);
  return status && status->known_epoch >= metadata_log_.epoch();
}

/// Finds a controller outside the core that is in contact with a majority of the members and has the whole log.
const Daemon* CoreMembershipPolicy::find_new_member(TimePoint now) const {
  const Metadata& metadata = *metadata_log_.view();
  for (const auto& [id, daemon] : metadata.directory) {
    bool is_spare = daemon.self.role == Role::controller && daemon.state == DaemonState::up &&
                    !metadata.is_core_member(daemon.self.incarnation);
    if (is_spare && majority_.has_majority_contact(daemon, now) && holds_log(daemon))
      return &daemon;
  }
  return nullptr;
}

/// Whether a member that is marked down has stopped: a majority gets no heartbeats from it, it announced its shutdown,
/// or another controller runs at its address.
bool CoreMembershipPolicy::is_gone(const Daemon& member, TimePoint now) const {
  const PeerStatus* status = detector_.status_of(member.self.incarnation);
  bool announced = status && status->leaving;
  bool replaced = metadata_log_.view()->find_at(member.self.address) != &member;
  return announced || replaced || !majority_.has_majority_contact(member, now);
}

const Daemon* CoreMembershipPolicy::find_lost_member(TimePoint now) const {
  const Metadata& metadata = *metadata_log_.view();
  for (DaemonId id : metadata.members) {
    const Daemon* member = metadata.find(id);
    if (member->state == DaemonState::down && is_gone(*member, now))
      return member;
  }
  return nullptr;
}

bool CoreMembershipPolicy::all_members_have_contact(TimePoint now) const {
  const Metadata& metadata = *metadata_log_.view();
  return std::all_of(metadata.members.begin(), metadata.members.end(),
                     [&](DaemonId id) { return majority_.has_majority_contact(*metadata.find(id), now); });
}

/// Messages that a controller sent before it was marked down do not prove that it has returned.
bool CoreMembershipPolicy::has_returned(const Daemon& daemon, TimePoint now) const {
  if (!majority_.has_majority_contact(daemon, now))
    return false;
  if (daemon.self.role != Role::controller)
    return true;
  const PeerStatus* status = detector_.status_of(daemon.self.incarnation);
  return status && !status->leaving && status->known_epoch >= daemon.since &&
         metadata_log_.view()->find_at(daemon.self.address) == &daemon;
}

std::optional<Transformation> CoreMembershipPolicy::next_change(TimePoint now) {
  const Metadata& metadata = *metadata_log_.view();
  const Daemon* lost = find_lost_member(now);
  size_t members = metadata.members.size();
  size_t down = count_down_members(metadata);
  bool smaller_majority = members % 2 == 0 || down > 1;
  if (lost && smaller_majority && members > kMinCoreSize)
    return RemoveCoreMember{lost->id};
  size_t max_size = std::max<size_t>(metadata.core_size, metadata.max_core_size);
  bool has_room = members - down < max_size && members <= max_size;
  const Daemon* new_member = has_room ? find_new_member(now) : nullptr;
  if (!new_member)
    return std::nullopt;
  if (!lost) {
    // By this time any member lost before the new controller appeared is marked down, and any lease granted by a
    // smaller core has expired.
    TimePoint allowed_from =
        growth_allowed_from_.try_emplace(new_member->id, now + kHeartbeatTimeout + kHeartbeatInterval).first->second;
    if (now < allowed_from || !all_members_have_contact(now))
      return std::nullopt;
  }
  return AddCoreMember{new_member->id};
}

}  // namespace mosskeel
