#pragma once
// Constants of a gateway's HTTP front end.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// Milliseconds; a platform that asks each second has seen "not ready" twice by then.
constexpr Millis kReadinessPropagation = 3200;

}  // namespace mosskeel
