#pragma once
// Constants of the metadata value.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// Maximum number of re-foundings that a lagging daemon may have missed and still recognize the cluster.
constexpr uint64_t kMaxMissedGenerations = 4;
/// Number of partitions; about ten per gateway at current cluster sizes.
constexpr uint32_t kPartitionCount = 64;
/// Default and minimum number of stores that keep each history, one per zone if there are enough zones.
constexpr uint32_t kDefaultHistoryReplicas = 3;
/// Number of recent commit ids kept to recognize retries.
constexpr size_t kRememberedCommits = 4096;
/// Number of applied configuration changes that are remembered, 24 bytes each; enough for 10 busy days.
constexpr size_t kRememberedConfigurationChanges = 4096;
/// Concurrent requests that all gateways together send to a replica whose record sets no capacity.
constexpr uint32_t kDefaultReplicaCapacity = 32;
/// Maximum capacity of a replica, in concurrent requests; a larger one is an error.
constexpr uint32_t kMaxReplicaCapacity = 4096;
/// A core of this many members loses none unless another one takes its place.
constexpr size_t kMinCoreSize = 3;
/// Time in which a newly started replica reaches its full share of requests.
constexpr Duration kSlowStartDuration = 10000ms;
/// A reported warm-up time that exceeds the expected one by no more than this is not treated as a change.
constexpr Duration kWarmUpTolerance = 500ms;
/// How long the replica list may lag in showing that a restored zone's replica is warming up.
constexpr Duration kMaxReplicaListLag = 1500ms;

}  // namespace mosskeel
