#pragma once
// Constants of consensus, founding, failure detection and the supervisor.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// Discovery intervals; a controller that was not discovered for so many is forgotten.
constexpr Millis kDiscoveryMemoryIntervals = 8;
/// Milliseconds; between two requests to be registered, each to another member.
constexpr Millis kRegistrationRetryInterval = 300;
/// Milliseconds; a controller that stops waits this long until the core goes on without it.
constexpr Millis kControllerShutdownTimeout = 600;
/// Milliseconds; three heartbeats of an older cluster's daemons arrive before a founding.
constexpr Millis kFoundingDelay = 1000;
/// Milliseconds; wait for late candidates before founding with a majority.
constexpr Millis kFoundingStragglerTimeout = 1500;
/// Milliseconds; a round without a majority by then starts anew.
constexpr Millis kProposalTimeout = 300;
/// Milliseconds; spread of restarts, so that duelling proposers separate.
constexpr Millis kProposalJitter = 120;
/// Milliseconds; a daemon unheard by a majority of controllers for this long is down.
constexpr Millis kHeartbeatTimeout = 2500;
/// Milliseconds; when most are silent this controller may be the one cut off: it waits longer.
constexpr Millis kIsolatedHeartbeatTimeout = 6000;
/// Milliseconds; duration of the supervisor lease.
constexpr Millis kSupervisorLeaseDuration = 2000;
/// Milliseconds; the holder stops this long before its lease ends.
constexpr Millis kSupervisorLeaseMargin = 400;
/// Milliseconds; between renewals.
constexpr Millis kSupervisorLeaseRenewInterval = 500;
/// Milliseconds; a sequence whose barrier is blocked longer is cancelled.
constexpr Millis kSequenceStepTimeout = 15000;
/// Milliseconds; a store silent this long loses its partitions; a restart takes less.
constexpr Millis kRepairDelay = 3000;
/// Doublings of kRepairDelay for a store that comes and goes.
constexpr uint32_t kMaxRepairDelayDoublings = 4;
/// Milliseconds; a store silent this long may be lost: joins wait for its repair.
constexpr Millis kStoreSuspectTimeout = 1200;
/// Milliseconds; before a daemon whose sequence was cancelled begins another.
constexpr Millis kSequenceRetryDelay = 1000;
/// Milliseconds; a lost store without partitions is removed from the directory.
constexpr Millis kForgetStoreDelay = 30000;
/// Milliseconds; a majority silent this long calls for a look at re-founding.
constexpr Millis kCoreLossTimeout = 4000;
/// Milliseconds; log copies are gathered this long before a re-founding.
constexpr Millis kRefoundingCatchUpTime = 1000;
/// Milliseconds; no founding this long after a sign of an older cluster.
constexpr Millis kFoundingHoldOff = 10000;

}  // namespace mosskeel
