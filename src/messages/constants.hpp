#pragma once
// Constants of the protocol between daemons.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// Revision of the protocol between daemons.
constexpr uint16_t kProtocolRevision = 2;

}  // namespace mosskeel
