#pragma once
// Constants of a gateway's HTTP frontend.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// Time for the platform to notice that the gateway is not ready: one that probes every second has seen "not ready" at
/// least twice by then.
constexpr Duration kReadinessPropagation = 3200ms;

}  // namespace mosskeel
