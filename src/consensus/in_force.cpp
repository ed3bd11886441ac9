// When a controller may acknowledge an epoch.
#include <algorithm>

#include "consensus/constants.hpp"
#include "consensus/controller_machine.hpp"

namespace mosskeel {

/// An epoch is in force when a majority of the core, a majority of all who count, and every disk in touch has it.
/// A front in touch has asked one of these majorities within the last 2 s, so it has met one that knows the epoch.
std::string ControllerMachine::missing_acknowledgements(Epoch at, Millis now) const {
  auto& m = *metadata_log_.view();
  auto knows = [&](const Daemon& d) {
    if (d.self.incarnation == out_.id().self.incarnation)
      return metadata_log_.epoch() >= at;
    auto* h = detector_.status_of(d.self.incarnation);
    return h && h->known_epoch >= at;
  };
  auto core = std::count_if(m.members.begin(), m.members.end(), [&](auto id) { return knows(*m.find(id)); });
  std::string who;
  for (auto& [id, d] : m.directory)
    if (d.state != DaemonState::left && !knows(d))
      who += " " + std::to_string(id.value());
  if (static_cast<size_t>(core) < majority_of(m.members.size()))
    return "no majority of the core has it; missing:" + who;
  if (!m.has_quorum(knows))
    return "no majority of the fleet has it; missing:" + who;
  for (auto& [id, d] : m.directory)
    if (d.self.role != Role::front && d.state == DaemonState::up &&
        detector_.heartbeat_age(d, now) < kHeartbeatTimeout && !knows(d))
      return "a disk in touch lacks it; missing:" + who;
  return "";
}

}  // namespace mosskeel
