#pragma once
// Constants of the request path of HTTP routes.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// ms; the outcome of a turn whose partition moved is offered to the new owner this long
constexpr Millis kOutcomeTransferTimeout = 20000;
/// ms; a turn of an unknown program is searched for at all stores this long
constexpr Millis kChainSearchTimeout = 1000;
/// ms; an owner must have granted or rejected a turn by then
constexpr Millis kTurnReservationTimeout = 2500;
/// ms; no request waits longer for a replica with free capacity
constexpr Millis kMaxReplicaWait = 400;
/// ms; a replica that accepts no connection is avoided this long
constexpr Millis kConnectFailureBackoff = 1000;
/// ms; a replica that says it is full is avoided this long
constexpr Millis kReplicaFullBackoff = 60;
/// ms; a replica that lost an answer is avoided this long
constexpr Millis kLostResponseBackoff = 300;
/// bytes; answers up to this size are read completely before the caller sees them
constexpr size_t kMaxBufferedResponseBytes = 256u << 10;
/// factor on a gateway's share of a replica's capacity, for load is uneven
constexpr double kCapacityShareFactor = 1.5;
/// share of a warming replica's permitted rate that its one gateway uses
constexpr double kSlowStartRateShare = 0.85;
/// replicas that one request is tried at, reached or not
constexpr size_t kMaxReplicasPerRequest = 4;
/// ms; a complete answer waits this long past its deadline to be kept
constexpr Millis kTurnCommitGrace = 2000;
/// ms; budgets of programs on routes that keep no history last this long
constexpr Millis kMinTurnRetention = 60000;
/// ms; no replica closes a kept connection sooner: the least it announces is 1 s
constexpr Millis kMaxReuseIdle = 300;
/// ids of attempts that ran and may not run again: 30 s of a busy gateway
constexpr size_t kRecentAttempts = 4096;

}  // namespace mosskeel
