#pragma once
// Constants of the product's own interface: cells, programs and turns.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// A replica silent this long has failed its request.
constexpr Duration kReplicaStallTimeout = 10000ms;
/// A replica that could not be reached is avoided this long.
constexpr Duration kReplicaBackoff = 2000ms;
/// Nobody waits longer for a replica with free capacity.
constexpr Duration kMaxQueueWait = 5000ms;
/// The final response to a request is kept in case its message is lost.
constexpr Duration kResponseRetention = 30000ms;
/// A stopping gateway answers for lost final responses this long.
constexpr Duration kShutdownGracePeriod = 600ms;
/// Between a gateway and its agent.
constexpr Duration kAgentHeartbeatInterval = 100ms;
/// Weight of the newest interval in a queue's measured service interval.
constexpr double kQueuePaceSmoothing = 0.05;
/// Turns of a program that wait for the one before them.
constexpr uint32_t kMaxQueuedTurnsPerThread = 8;
/// Retries earned by each success: so many more calls may reach the replicas than requests come.
constexpr double kRetryBudgetPerSuccess = 0.1;
/// The owner must acknowledge a forwarded request by then.
constexpr Duration kForwardAcknowledgementTimeout = 1000ms;
/// For a caller that names no deadline.
constexpr Duration kDefaultRequestTimeout = 60000ms;
/// How long the ids of answered attempts are remembered.
constexpr Duration kAttemptIdRetention = 600000ms;
/// Requests that wait on one gateway.
constexpr size_t kMaxQueuedRequests = 256;
/// Queue entries beyond that for urgent requests alone.
constexpr size_t kUrgentQueueReserve = 64;
/// Requests that replicas work on for one gateway.
constexpr size_t kMaxRunningRequests = 512;
/// Bulk requests that one gateway runs on one replica at once.
constexpr uint32_t kMaxBulkRequestsPerReplica = 4;
/// Gateways that may use a replica which is warming up.
constexpr uint32_t kGatewaysPerColdReplica = 1;

}  // namespace mosskeel
