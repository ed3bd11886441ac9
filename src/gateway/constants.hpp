#pragma once
// Constants of a gateway's HTTP front end.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// A platform that asks each second has seen "not ready" twice by then.
constexpr Duration kReadinessPropagation = 3200ms;

/// Requests that come so late in a graceful stop are refused where they may outlast it. Before, only its end cuts them:
/// most are served much faster than their deadline says. A caller may rely on being served or refused from 3 s on.
constexpr Duration kShutdownRefusalDelay = 2700ms;
/// The responses of a stopping gateway are complete so long before it may be killed.
constexpr Duration kShutdownMargin = 500ms;

}  // namespace mosskeel
