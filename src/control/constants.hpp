#pragma once
// Constants of the administrative interfaces.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// Milliseconds; an operator turns to another controller after a second of silence.
constexpr Millis kOperatorRequestTimeout = 900;
/// Milliseconds; when an operator without a clear answer may ask again.
constexpr Millis kOperatorRetryDelay = 200;
/// Milliseconds; between two looks whether an epoch is in force; one tick.
constexpr Millis kInForcePollInterval = 20;
/// Milliseconds; between readings of the replica list, whose rate is limited.
constexpr Millis kReplicaListPollInterval = 500;
/// Milliseconds; a page that takes longer is given up, and its reading with it.
constexpr Millis kReplicaListPageTimeout = 1000;
/// Pages; a longer list goes round in circles.
constexpr size_t kReplicaListMaxPages = 200;

}  // namespace mosskeel
