// When a controller may acknowledge an epoch.
#include <algorithm>

#include "consensus/controller_machine.hpp"

namespace mosskeel {

/// An epoch is in force when a majority of the core, a majority of all who count, and every disk in touch has it.
/// A front in touch has asked one of these majorities within the last 2 s, so it has met one that knows the epoch.
std::string ControllerMachine::lacking(Epoch at, Millis now) const {
  auto& m = *led_.view();
  auto knows = [&](const Daemon& d) {
    if (d.self.inc == out_.id().self.inc) return led_.epoch() >= at;
    auto* h = detector_.of(d.self.inc);
    return h && h->known >= at;
  };
  auto core = std::count_if(m.members.begin(), m.members.end(), [&](auto id) { return knows(*m.find(id)); });
  std::string who;
  for (auto& [id, d] : m.directory)
    if (d.state != DaemonState::left && !knows(d)) who += " " + std::to_string(id.v);
  if (static_cast<size_t>(core) < majority_of(m.members.size()))
    return "no majority of the core has it; missing:" + who;
  if (!m.quorate(knows)) return "no majority of the fleet has it; missing:" + who;
  for (auto& [id, d] : m.directory)
    if (d.self.role != Role::front && d.state == DaemonState::up && detector_.silence(d, now) < limits::silence &&
        !knows(d))
      return "a disk in touch lacks it; missing:" + who;
  return "";
}

}  // namespace mosskeel
