#pragma once
// Constants of the administrative interfaces.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// An operator turns to another controller after a second without an answer.
constexpr Duration kOperatorRequestTimeout = 900ms;
/// When an operator without a clear answer may ask again.
constexpr Duration kOperatorRetryDelay = 200ms;
/// Between two looks whether an epoch is in force; one tick.
constexpr Duration kInForcePollInterval = 20ms;
/// Heartbeats; a daemon that missed more in a row is not counted on here, well before it is marked down.
constexpr int kMaxMissedHeartbeats = 4;
/// Digits of a number that an operator may write; so many always fit into 64 bits.
constexpr size_t kMaxDecimalDigits = 18;
/// The reason given where a read or a command found no majority of the core.
constexpr const char* kNoMajorityReason = "no majority of the core answered in time";
/// Between readings of the replica list, whose rate is limited.
constexpr Duration kReplicaListPollInterval = 500ms;
/// A page that takes longer is given up, and its reading with it.
constexpr Duration kReplicaListPageTimeout = 1000ms;
/// Pages; a longer list goes round in circles.
constexpr size_t kReplicaListMaxPages = 200;

}  // namespace mosskeel
