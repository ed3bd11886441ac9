#pragma once
// Whether a daemon may hold places, by its state in the directory.
#include "metadata/metadata.hpp"

namespace mosskeel::placement {

/// Up, or registered and about to join.
inline bool alive(const Metadata& metadata, DaemonId id) {
  auto* daemon = metadata.find(id);
  return daemon && (daemon->state == DaemonState::up || daemon->state == DaemonState::registered);
}

/// Unknown, down or gone.
inline bool lost(const Metadata& metadata, DaemonId id) {
  auto* daemon = metadata.find(id);
  return !daemon || daemon->state == DaemonState::down || daemon->state == DaemonState::left;
}

}  // namespace mosskeel::placement
