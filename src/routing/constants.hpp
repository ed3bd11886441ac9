#pragma once
// Constants for the processing of requests on HTTP routes.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// How long the outcome of a turn whose partition has moved is resent to the new owner.
constexpr Duration kOutcomeTransferTimeout = 20000ms;
/// Timeout for the search of all stores for a turn of another program.
constexpr Duration kChainSearchTimeout = 1000ms;
/// Timeout for the owner to grant or reject a turn.
constexpr Duration kTurnReservationTimeout = 2500ms;
/// Longest time that a request waits for a replica with free capacity.
constexpr Duration kMaxReplicaWait = 400ms;
/// Backoff after a failed connection attempt to a replica.
constexpr Duration kConnectFailureBackoff = 1000ms;
/// Backoff after a replica has reported that it is at capacity.
constexpr Duration kReplicaFullBackoff = 60ms;
/// Backoff after a replica's response was lost.
constexpr Duration kLostResponseBackoff = 300ms;
/// How long a replica gets no requests after it has broken the protocol; doubled with each further time.
constexpr Duration kEjectionTime = 500ms;
constexpr Duration kMaxEjectionTime = 16000ms;
/// A response that is not complete at its deadline although this many bytes of it were forwarded has no end.
constexpr size_t kEndlessResponseBytes = 8u << 20;
/// Responses up to this size are buffered completely before they are forwarded.
constexpr size_t kMaxBufferedResponseBytes = 256u << 10;
/// The same while much is held of other responses.
constexpr size_t kMinBufferedResponseBytes = 16u << 10;
/// Factor applied to a gateway's share of a replica's capacity, because load is not spread evenly over the gateways.
constexpr double kCapacityShareFactor = 1.5;
/// Fraction of the permitted rate that the one gateway in charge of a warming replica uses.
constexpr double kSlowStartRateShare = 0.85;
/// Maximum number of replicas that one request is tried at, whether they were reached or not.
constexpr size_t kMaxReplicasPerRequest = 4;
/// How long past its deadline a complete response waits for its outcome to be committed.
constexpr Duration kTurnCommitGrace = 2000ms;
/// Minimum retention of turn records; on routes without history it is how long a program's budget is remembered.
constexpr Duration kMinTurnRetention = 60000ms;
/// Longest idle time after which a connection is reused for a request that is not idempotent. Replicas do not close
/// idle connections sooner: the shortest keep-alive timeout that they announce is 1 s.
constexpr Duration kMaxReuseIdle = 300ms;
/// Number of remembered ids of attempts that ran and must not run again; covers 30 s of a busy gateway.
constexpr size_t kRecentAttempts = 4096;

}  // namespace mosskeel
