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
/// Heartbeats; a daemon that missed more in a row is not counted on here, well before it is marked down.
constexpr int kMaxMissedHeartbeats = 4;
/// Digits of a number that an operator may write; so many always fit into 64 bits.
constexpr size_t kMaxDecimalDigits = 18;
/// The reason given where a read or a command found no majority of the core.
constexpr const char* kNoMajorityReason = "no majority of the core answered in time";
/// Milliseconds; between readings of the replica list, whose rate is limited.
constexpr Millis kReplicaListPollInterval = 500;
/// Milliseconds; a page that takes longer is given up, and its reading with it.
constexpr Millis kReplicaListPageTimeout = 1000;
/// Pages; a longer list goes round in circles.
constexpr size_t kReplicaListMaxPages = 200;

}  // namespace mosskeel
