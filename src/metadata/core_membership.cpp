#include "metadata/core_membership.hpp"

#include <algorithm>

namespace mosskeel {

size_t count_down_members(const Metadata& metadata) {
  auto count = std::count_if(metadata.members.begin(), metadata.members.end(), [&](DaemonId id) {
    auto* member = metadata.find(id);
    return member && member->state == DaemonState::down;
  });
  return static_cast<size_t>(count);
}

std::vector<DaemonId> eligible_quorum_members(const Metadata& metadata) {
  std::vector<DaemonId> eligible;
  for (auto& [id, daemon] : metadata.directory) {
    if (daemon.state == DaemonState::left)
      continue;
    bool superseded = metadata.find_at(daemon.self.address) != &daemon;
    if (daemon.state != DaemonState::down || !superseded)
      eligible.push_back(id);
  }
  return eligible;
}

}  // namespace mosskeel
