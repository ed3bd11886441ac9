#pragma once
// Constants of the metadata value.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// Re-foundings that a lagging daemon may have missed.
constexpr uint64_t kMaxMissedGenerations = 4;
/// Partitions; some ten a gateway at today's sizes.
constexpr uint32_t kPartitionCount = 64;
/// Stores that keep each history, one a zone where zones allow.
constexpr uint32_t kDefaultHistoryReplicas = 3;
/// Commit ids that the log remembers for retries.
constexpr size_t kRememberedCommits = 4096;
/// Acknowledged configuration changes that are remembered, 24 bytes each; 10 busy days.
constexpr size_t kRememberedConfigurationChanges = 4096;
/// Requests that all gateways together run on one replica whose record names no other number.
constexpr uint32_t kDefaultReplicaCapacity = 32;
/// Requests; a larger capacity in a record is an error.
constexpr uint32_t kMaxReplicaCapacity = 4096;
/// Members; none leaves a core of this size without another in its place.
constexpr size_t kMinCoreSize = 3;
/// A replica that just started reaches its full share in this time.
constexpr Duration kSlowStartDuration = 10000ms;
/// A warm-up time that differs less from the expected one is not a change.
constexpr Duration kWarmUpTolerance = 500ms;
/// For this long the replica list may not show that a restored zone's replica is warming up.
constexpr Duration kMaxReplicaListLag = 1500ms;

}  // namespace mosskeel
