#pragma once
// Constants that all daemons share.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// Where each process's own clock begins, so that 0 can stand for "never".
constexpr TimePoint kProcessClockStart{1000000000000ms};
/// How long a daemon waits for one commit as a whole, all attempts included (TCM paper's await).
constexpr Duration kCommitTimeout = 10000ms;
/// How long one controller works on one commit request (TCM paper's RPC time-out).
constexpr Duration kCommitAttemptTimeout = 2000ms;
/// How often a state machine looks at its timers.
constexpr Duration kTickInterval = 20ms;
/// Offset into a machine's ports; seeds name machines only, so all controllers share one port.
constexpr uint16_t kControllerPortOffset = 0;
/// Offset; a gateway runs beside its agent, so each has its own port.
constexpr uint16_t kGatewayPortOffset = 1;
/// Offset; see kGatewayPortOffset.
constexpr uint16_t kAgentPortOffset = 2;
/// Offset; a store may share a machine with any other daemon.
constexpr uint16_t kStorePortOffset = 3;
/// Controllers; a core grows by itself up to this size, a larger one slows down every commit.
constexpr uint32_t kMaxCoreSize = 9;
/// Bytes; journal growth that calls for a checkpoint.
constexpr size_t kCheckpointJournalBytes = 16u << 20;
/// When a rejected caller may try again, unless something better is known.
constexpr Duration kDefaultRetryAfter = 500ms;
/// Exit code of a daemon whose settings are wrong.
constexpr int kExitBadSettings = 2;

}  // namespace mosskeel
