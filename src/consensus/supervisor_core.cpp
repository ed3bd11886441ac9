// Which controllers make the core: admission and removal, one member a step.
#include <algorithm>

#include "consensus/constants.hpp"
#include "consensus/supervisor.hpp"
#include "metadata/constants.hpp"
#include "metadata/core_membership.hpp"
#include "replication/constants.hpp"

namespace mosskeel {

/// Heartbeats leave only once the log up to the epoch that they name is on the sender's disk.
bool Supervisor::holds_log(const Daemon& d) const {
  auto* status = detector_.status_of(d.self.incarnation);
  return status && status->known_epoch >= metadata_log_.epoch();
}

/// A controller outside the core that a majority of the members hears and that holds the whole log.
const Daemon* Supervisor::newcomer(Millis now) const {
  auto& m = *metadata_log_.view();
  for (auto& [id, d] : m.directory) {
    bool spare = d.self.role == Role::controller && d.state == DaemonState::up && !m.is_core_member(d.self.incarnation);
    if (spare && heard(d, now) && holds_log(d))
      return &d;
  }
  return nullptr;
}

/// Whether a member that is marked down is no longer at work: a majority does not hear it, it said that it leaves, or
/// another controller runs at its address.
bool Supervisor::gone(const Daemon& d, Millis now) const {
  auto* status = detector_.status_of(d.self.incarnation);
  bool said_so = status && status->leaving;
  return said_so || metadata_log_.view()->find_at(d.self.address) != &d || !heard(d, now);
}

const Daemon* Supervisor::lost_member(Millis now) const {
  auto& m = *metadata_log_.view();
  for (auto id : m.members) {
    auto* d = m.find(id);
    if (d->state == DaemonState::down && gone(*d, now))
      return d;
  }
  return nullptr;
}

bool Supervisor::all_members_heard(Millis now) const {
  auto& m = *metadata_log_.view();
  return std::all_of(m.members.begin(), m.members.end(), [&](auto id) { return heard(*m.find(id), now); });
}

/// Whether a daemon that is marked down runs again. A controller's words from before the mark prove nothing.
bool Supervisor::returned(const Daemon& d, Millis now) const {
  if (!heard(d, now))
    return false;
  if (d.self.role != Role::controller)
    return true;
  auto* status = detector_.status_of(d.self.incarnation);
  return status && !status->leaving && status->known_epoch >= d.since &&
         metadata_log_.view()->find_at(d.self.address) == &d;
}

/// Members come and go one at a time: a newcomer is admitted first and the lost member is removed next, since the
/// majorities of two sets that differ by one member always meet, and those of a swap need not. A lost member without a
/// newcomer leaves where that makes the majority smaller. The core grows only while all its members are heard, so that
/// nobody is admitted beside a loss that is not yet marked.
std::optional<Transformation> Supervisor::core(Millis now) {
  auto& m = *metadata_log_.view();
  auto* lost = lost_member(now);
  auto down = count_down_members(m);
  bool smaller_majority = m.members.size() % 2 == 0 || down > 1;
  if (lost && smaller_majority && m.members.size() > kMinCoreSize)
    return RemoveCoreMember{lost->id};
  auto most = std::max<size_t>(m.core_size, m.max_core_size);
  bool room = m.members.size() - down < most && m.members.size() <= most;
  auto* fresh = room ? newcomer(now) : nullptr;
  if (!fresh)
    return std::nullopt;
  if (!lost) {
    // A loss before the newcomer came is marked by then; and a lease granted by a smaller core has ended.
    auto not_before = later_.try_emplace(fresh->id, now + kHeartbeatTimeout + kHeartbeatInterval).first->second;
    if (now < not_before || !all_members_heard(now))
      return std::nullopt;
  }
  return AddCoreMember{fresh->id};
}

}  // namespace mosskeel
