#pragma once
// Constants of the native API: cells, programs and turns.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// A request fails if its replica sends nothing for this long.
constexpr Duration kReplicaStallTimeout = 10000ms;
/// Backoff after a replica could not be reached.
constexpr Duration kReplicaBackoff = 2000ms;
/// Longest time that a request waits for a replica with free capacity.
constexpr Duration kMaxQueueWait = 5000ms;
/// How long the final response to a request is stored, in case its message is lost.
constexpr Duration kResponseRetention = 30000ms;
/// How long a gateway that is shutting down stays up to resend lost final responses.
constexpr Duration kShutdownGracePeriod = 600ms;
/// Interval of the heartbeats between a gateway and its agent.
constexpr Duration kAgentHeartbeatInterval = 100ms;
/// Weight of the newest sample in a queue's smoothed service interval.
constexpr double kServiceIntervalSmoothing = 0.05;
/// Maximum number of a program's turns that wait for a previous turn.
constexpr uint32_t kMaxQueuedTurnsPerThread = 8;
/// Retries earned by each success: bounds the calls to replicas that exceed the number of incoming requests.
constexpr double kRetryBudgetPerSuccess = 0.1;
/// Timeout for the owner to acknowledge a forwarded request.
constexpr Duration kForwardAcknowledgementTimeout = 1000ms;
/// Timeout of a request without a deadline.
constexpr Duration kDefaultRequestTimeout = 60000ms;
/// How long the ids of answered attempts are remembered.
constexpr Duration kAttemptIdRetention = 600000ms;
/// Maximum number of requests that wait on one gateway.
constexpr size_t kMaxQueuedRequests = 256;
/// Additional queue entries, reserved for urgent requests.
constexpr size_t kUrgentQueueReserve = 64;
/// Maximum number of requests that replicas process concurrently for one gateway.
constexpr size_t kMaxRunningRequests = 512;
/// Maximum number of concurrent bulk requests from one gateway on one replica.
constexpr uint32_t kMaxBulkRequestsPerReplica = 4;
/// Number of gateways that may use a replica which is warming up.
constexpr uint32_t kGatewaysPerColdReplica = 1;

}  // namespace mosskeel
