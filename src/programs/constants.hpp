#pragma once
// Constants of the product's own interface: cells, programs and turns.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// ms; a replica silent this long has failed its request
constexpr Millis kReplicaStallTimeout = 10000;
/// ms; a replica that could not be reached is avoided this long
constexpr Millis kReplicaBackoff = 2000;
/// ms; nobody waits longer for a replica with free capacity
constexpr Millis kMaxQueueWait = 5000;
/// ms; the final response to a request is kept in case its message is lost
constexpr Millis kResponseRetention = 30000;
/// ms; a stopping gateway answers for lost final responses this long
constexpr Millis kShutdownGracePeriod = 600;
/// ms; between a gateway and its agent
constexpr Millis kAgentHeartbeatInterval = 100;
/// weight of the newest interval in a queue's measured service interval
constexpr double kQueuePaceSmoothing = 0.05;
/// turns waiting for the one before them
constexpr uint32_t kMaxQueuedTurnsPerThread = 8;
/// repeatable requests retried per first attempt
constexpr double kRetryBudgetPerSuccess = 0.1;
/// ms; the owner must acknowledge a proxied request by then
constexpr Millis kForwardAcknowledgementTimeout = 1000;
/// ms; for a caller that names no deadline
constexpr Millis kDefaultRequestTimeout = 60000;
/// ms; how long ids of settled attempts are remembered
constexpr Millis kAttemptIdRetention = 600000;
/// model turns waiting on one gateway
constexpr size_t kMaxQueuedRequests = 256;
/// queue entries beyond that for urgent requests alone
constexpr size_t kUrgentQueueReserve = 64;
/// requests in flight on one gateway
constexpr size_t kMaxRunningRequests = 512;
/// bulk requests that one gateway runs at once
constexpr uint32_t kMaxBulkRequestsPerReplica = 4;
/// gateways that may use a replica that just started
constexpr uint32_t kFrontsPerColdReplica = 1;

}  // namespace mosskeel
