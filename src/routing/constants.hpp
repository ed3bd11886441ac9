#pragma once
// Constants of the request path of HTTP routes.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// The outcome of a turn whose partition moved is offered to the new owner this long.
constexpr Duration kOutcomeTransferTimeout = 20000ms;
/// A turn of an unknown program is searched for at all stores this long.
constexpr Duration kChainSearchTimeout = 1000ms;
/// An owner must have granted or rejected a turn by then.
constexpr Duration kTurnReservationTimeout = 2500ms;
/// No request waits longer for a replica with free capacity.
constexpr Duration kMaxReplicaWait = 400ms;
/// A replica that accepts no connection is avoided this long.
constexpr Duration kConnectFailureBackoff = 1000ms;
/// A replica that reports that it is full is avoided this long.
constexpr Duration kReplicaFullBackoff = 60ms;
/// A replica that lost an answer is avoided this long.
constexpr Duration kLostResponseBackoff = 300ms;
/// Bytes; answers up to this size are read completely before the caller sees them.
constexpr size_t kMaxBufferedResponseBytes = 256u << 10;
/// Factor on a gateway's share of a replica's capacity, for load is uneven.
constexpr double kCapacityShareFactor = 1.5;
/// Share of a warming replica's permitted rate that its one gateway uses.
constexpr double kSlowStartRateShare = 0.85;
/// Replicas that one request is tried at, reached or not.
constexpr size_t kMaxReplicasPerRequest = 4;
/// A complete answer waits this long past its deadline to be kept.
constexpr Duration kTurnCommitGrace = 2000ms;
/// Budgets of programs on routes that keep no history last this long.
constexpr Duration kMinTurnRetention = 60000ms;
/// No replica closes a kept connection sooner: the least it announces is 1 s.
constexpr Duration kMaxReuseIdle = 300ms;
/// Ids of attempts that ran and may not run again: 30 s of a busy gateway.
constexpr size_t kRecentAttempts = 4096;

}  // namespace mosskeel
