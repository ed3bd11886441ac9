#pragma once
// Constants of the admin APIs.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// Time limit of an operator's request. Operators fail over to another controller after 1 s without a response.
constexpr Duration kOperatorRequestTimeout = 900ms;
/// Retry delay given to an operator when the outcome of a request is unknown.
constexpr Duration kOperatorRetryDelay = 200ms;
/// Interval of the checks whether an epoch is in force; one tick of the state machine.
constexpr Duration kInForcePollInterval = 20ms;
/// Number of consecutive missed heartbeats from which the admin API treats a daemon as unreachable, well before the
/// daemon is marked down.
constexpr int kMaxMissedHeartbeats = 4;
/// Maximum number of digits of a number in a command; a number of this length always fits in 64 bits.
constexpr size_t kMaxDecimalDigits = 18;
/// The reason reported if no majority of the core confirmed a read or a command.
constexpr const char* kNoMajorityReason = "no majority of the core answered in time";
/// Interval between reads of the replica list; the platform limits their rate.
constexpr Duration kReplicaListPollInterval = 500ms;
/// Timeout for one page; if it expires, the whole read fails.
constexpr Duration kReplicaListPageTimeout = 1000ms;
/// Maximum number of pages; a longer list indicates a cycle of page tokens.
constexpr size_t kReplicaListMaxPages = 200;

}  // namespace mosskeel
