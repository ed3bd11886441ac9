#pragma once
// What the log's steps and the supervisor both ask of the core's membership.
#include "metadata/metadata.hpp"

namespace mosskeel {

/// How many core members are marked down.
size_t count_down_members(const Metadata& m);

}  // namespace mosskeel
