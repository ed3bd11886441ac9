#pragma once
// Constants of a gateway's HTTP front end.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// A platform that asks each second has seen "not ready" twice by then.
constexpr Duration kReadinessPropagation = 3200ms;

}  // namespace mosskeel
