#pragma once
// Queries about the core and the quorum members, shared by the transformations and the supervisor.
#include "metadata/metadata.hpp"

namespace mosskeel {

/// The number of core members that are marked down.
size_t count_down_members(const Metadata& metadata);

/// The daemons that should be quorum members: all except those that have left, and those that are down and superseded
/// by another daemon at their address.
std::vector<DaemonId> eligible_quorum_members(const Metadata& metadata);

}  // namespace mosskeel
