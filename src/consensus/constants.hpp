#pragma once
// Constants of consensus, founding, failure detection and the supervisor.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// Discovery intervals; a controller that was not discovered for so many is forgotten.
constexpr int kDiscoveryMemoryIntervals = 8;
/// Between two requests to be registered, each to another member.
constexpr Duration kRegistrationRetryInterval = 300ms;
/// A controller that stops waits this long until the core goes on without it.
constexpr Duration kControllerShutdownTimeout = 600ms;
/// Three heartbeats of an older cluster's daemons arrive before a founding.
constexpr Duration kFoundingDelay = 1000ms;
/// Wait for late candidates before founding with a majority.
constexpr Duration kFoundingStragglerTimeout = 1500ms;
/// A round without a majority by then starts anew.
constexpr Duration kProposalTimeout = 300ms;
/// Spread of restarts, so that duelling proposers separate.
constexpr Duration kProposalJitter = 120ms;
/// A daemon unheard by a majority of controllers for this long is down.
constexpr Duration kHeartbeatTimeout = 2500ms;
/// When most are silent this controller may be the one cut off: it waits longer.
constexpr Duration kIsolatedHeartbeatTimeout = 6000ms;
/// Duration of the supervisor lease.
constexpr Duration kSupervisorLeaseDuration = 2000ms;
/// The holder stops this long before its lease ends.
constexpr Duration kSupervisorLeaseMargin = 400ms;
/// Between renewals.
constexpr Duration kSupervisorLeaseRenewInterval = 500ms;
/// A sequence whose barrier is blocked longer is cancelled.
constexpr Duration kSequenceStepTimeout = 15000ms;
/// A store silent this long loses its partitions; a restart takes less.
constexpr Duration kRepairDelay = 3000ms;
/// Doublings of kRepairDelay for a store that comes and goes.
constexpr uint32_t kMaxRepairDelayDoublings = 4;
/// A store silent this long may be lost: joins wait for its repair.
constexpr Duration kStoreSuspectTimeout = 1200ms;
/// Before a daemon whose sequence was cancelled begins another.
constexpr Duration kSequenceRetryDelay = 1000ms;
/// A lost store without partitions is removed from the directory.
constexpr Duration kForgetStoreDelay = 30000ms;
/// A majority silent this long calls for a look at re-founding.
constexpr Duration kCoreLossTimeout = 4000ms;
/// Log copies are gathered this long before a re-founding.
constexpr Duration kRefoundingCatchUpTime = 1000ms;
/// No founding this long after a sign of an older cluster.
constexpr Duration kFoundingHoldOff = 10000ms;

}  // namespace mosskeel
