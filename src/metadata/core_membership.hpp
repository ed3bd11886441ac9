#pragma once
// Questions about the core and the quorum members that transformations and the supervisor both ask.
#include "metadata/metadata.hpp"

namespace mosskeel {

/// How many core members are marked down.
size_t count_down_members(const Metadata& metadata);

/// The daemons that should be quorum members: all that have not left, nor are down with another one at their address.
std::vector<DaemonId> eligible_quorum_members(const Metadata& metadata);

}  // namespace mosskeel
