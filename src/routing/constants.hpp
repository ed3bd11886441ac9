#pragma once
// Constants of the request path of HTTP routes.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// Milliseconds; the outcome of a turn whose partition moved is offered to the new owner this long.
constexpr Millis kOutcomeTransferTimeout = 20000;
/// Milliseconds; a turn of an unknown program is searched for at all stores this long.
constexpr Millis kChainSearchTimeout = 1000;
/// Milliseconds; an owner must have granted or rejected a turn by then.
constexpr Millis kTurnReservationTimeout = 2500;
/// Milliseconds; no request waits longer for a replica with free capacity.
constexpr Millis kMaxReplicaWait = 400;
/// Milliseconds; a replica that accepts no connection is avoided this long.
constexpr Millis kConnectFailureBackoff = 1000;
/// Milliseconds; a replica that says it is full is avoided this long.
constexpr Millis kReplicaFullBackoff = 60;
/// Milliseconds; a replica that lost an answer is avoided this long.
constexpr Millis kLostResponseBackoff = 300;
/// Bytes; answers up to this size are read completely before the caller sees them.
constexpr size_t kMaxBufferedResponseBytes = 256u << 10;
/// Factor on a gateway's share of a replica's capacity, for load is uneven.
constexpr double kCapacityShareFactor = 1.5;
/// Share of a warming replica's permitted rate that its one gateway uses.
constexpr double kSlowStartRateShare = 0.85;
/// Replicas that one request is tried at, reached or not.
constexpr size_t kMaxReplicasPerRequest = 4;
/// Milliseconds; a complete answer waits this long past its deadline to be kept.
constexpr Millis kTurnCommitGrace = 2000;
/// Milliseconds; budgets of programs on routes that keep no history last this long.
constexpr Millis kMinTurnRetention = 60000;
/// Milliseconds; no replica closes a kept connection sooner: the least it announces is 1 s.
constexpr Millis kMaxReuseIdle = 300;
/// Ids of attempts that ran and may not run again: 30 s of a busy gateway.
constexpr size_t kRecentAttempts = 4096;

}  // namespace mosskeel
