#pragma once
// Constants of the product's own interface: cells, programs and turns.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// Milliseconds; a replica silent this long has failed its request.
constexpr Millis kReplicaStallTimeout = 10000;
/// Milliseconds; a replica that could not be reached is avoided this long.
constexpr Millis kReplicaBackoff = 2000;
/// Milliseconds; nobody waits longer for a replica with free capacity.
constexpr Millis kMaxQueueWait = 5000;
/// Milliseconds; the final response to a request is kept in case its message is lost.
constexpr Millis kResponseRetention = 30000;
/// Milliseconds; a stopping gateway answers for lost final responses this long.
constexpr Millis kShutdownGracePeriod = 600;
/// Milliseconds; between a gateway and its agent.
constexpr Millis kAgentHeartbeatInterval = 100;
/// Weight of the newest interval in a queue's measured service interval.
constexpr double kQueuePaceSmoothing = 0.05;
/// Turns of a program that wait for the one before them.
constexpr uint32_t kMaxQueuedTurnsPerThread = 8;
/// Retries earned by each success: so many more calls may reach the replicas than requests come.
constexpr double kRetryBudgetPerSuccess = 0.1;
/// Milliseconds; the owner must acknowledge a forwarded request by then.
constexpr Millis kForwardAcknowledgementTimeout = 1000;
/// Milliseconds; for a caller that names no deadline.
constexpr Millis kDefaultRequestTimeout = 60000;
/// Milliseconds; how long the ids of answered attempts are remembered.
constexpr Millis kAttemptIdRetention = 600000;
/// Requests that wait on one gateway.
constexpr size_t kMaxQueuedRequests = 256;
/// Queue entries beyond that for urgent requests alone.
constexpr size_t kUrgentQueueReserve = 64;
/// Requests that replicas work on for one gateway.
constexpr size_t kMaxRunningRequests = 512;
/// Bulk requests that one gateway runs on one replica at once.
constexpr uint32_t kMaxBulkRequestsPerReplica = 4;
/// Gateways that may use a replica which is warming up.
constexpr uint32_t kFrontsPerColdReplica = 1;

}  // namespace mosskeel
