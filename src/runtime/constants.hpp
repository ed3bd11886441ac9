#pragma once
// Constants shared by all daemons.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// Start of each process's own clock. It is not 0, so that 0 can mean "never".
constexpr TimePoint kProcessClockStart{1000000000000ms};
/// Timeout of one commit as a whole, including all attempts ("await" in the TCM paper).
constexpr Duration kCommitTimeout = 10000ms;
/// Timeout of one commit attempt on one controller ("RPC time-out" in the TCM paper).
constexpr Duration kCommitAttemptTimeout = 2000ms;
/// Interval at which a state machine checks its timers.
constexpr Duration kTickInterval = 20ms;
/// Offset into a machine's port range. Seeds name only machines, so controllers use the same port on all of them.
constexpr uint16_t kControllerPortOffset = 0;
/// Port offset. A gateway runs on the same machine as its agent, so each has its own port.
constexpr uint16_t kGatewayPortOffset = 1;
/// Port offset; see kGatewayPortOffset.
constexpr uint16_t kAgentPortOffset = 2;
/// Port offset. A store may share a machine with any other daemon.
constexpr uint16_t kStorePortOffset = 3;
/// Maximum number of controllers to which a core grows by itself; a larger core slows down every commit.
constexpr uint32_t kMaxCoreSize = 9;
/// Journal growth in bytes that triggers a checkpoint.
constexpr size_t kCheckpointJournalBytes = 16u << 20;
/// Retry delay given to a rejected client if no better estimate is known.
constexpr Duration kDefaultRetryAfter = 500ms;
/// Exit code of a daemon with invalid settings.
constexpr int kExitBadSettings = 2;
/// Exit code of a daemon that lacked something at its start which another process holds or a limit denies. It may be
/// started again later.
constexpr int kExitUnavailable = 3;

}  // namespace mosskeel
