#pragma once
// Constants of consensus, founding, failure detection and the supervisor.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// A controller is forgotten when it has not been discovered for this many discovery intervals.
constexpr int kDiscoveryMemoryIntervals = 8;
/// Time between two registration requests; each goes to another core member.
constexpr Duration kRegistrationRetryInterval = 300ms;
/// How long a controller that shuts down waits for the core to take over its duties.
constexpr Duration kControllerShutdownTimeout = 600ms;
/// Delay before a cluster is founded; leaves time for three heartbeats from the daemons of an existing cluster.
constexpr Duration kFoundingDelay = 1000ms;
/// How long to wait for late candidates before founding a cluster with a majority of them.
constexpr Duration kFoundingStragglerTimeout = 1500ms;
/// A Paxos round that has no majority by then is retried.
constexpr Duration kProposalTimeout = 300ms;
/// Random jitter added to proposal retries to separate duelling proposers.
constexpr Duration kProposalJitter = 120ms;
/// A daemon is down when a majority of the controllers has had no heartbeat from it for this long.
constexpr Duration kHeartbeatTimeout = 2500ms;
/// Replaces kHeartbeatTimeout when most daemons are silent, because this controller may itself be the isolated one.
constexpr Duration kIsolatedHeartbeatTimeout = 6000ms;
constexpr Duration kSupervisorLeaseDuration = 2000ms;
/// The holder stops acting as supervisor this long before its lease expires.
constexpr Duration kSupervisorLeaseMargin = 400ms;
/// Time between lease renewals.
constexpr Duration kSupervisorLeaseRenewInterval = 500ms;
/// A sequence is cancelled when its barrier is blocked for longer than this.
constexpr Duration kSequenceStepTimeout = 15000ms;
/// The partitions of a store that is silent for this long are moved to other stores; a restart takes less time.
constexpr Duration kRepairDelay = 3000ms;
/// Limit of the exponential backoff of kRepairDelay for a flapping store.
constexpr uint32_t kMaxRepairDelayDoublings = 4;
/// A store that is silent for this long may be lost, so joins wait for its repair.
constexpr Duration kStoreSuspectTimeout = 1200ms;
/// Delay before a daemon begins another sequence after a cancelled one.
constexpr Duration kSequenceRetryDelay = 1000ms;
/// A lost store that holds no partitions is removed from the directory after this time.
constexpr Duration kForgetStoreDelay = 30000ms;
/// When a majority of the core is silent for this long, a re-founding is considered.
constexpr Duration kCoreLossTimeout = 4000ms;
/// How long entries are collected from other daemons' logs before a re-founding.
constexpr Duration kRefoundingCatchUpTime = 1000ms;
/// No cluster is founded within this time after a message from an existing cluster.
constexpr Duration kFoundingHoldOff = 10000ms;

}  // namespace mosskeel
