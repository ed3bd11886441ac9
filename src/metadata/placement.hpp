#pragma once
// Placement of partitions: which gateway owns a partition and which stores keep its histories.
#include "metadata/metadata.hpp"

namespace mosskeel::placement {

/// The number of partitions, or replicas of partitions, on each daemon.
using LoadByDaemon = std::map<DaemonId, int>;

/// Whether a daemon may be given partitions: it is up, or registered and about to join.
bool is_alive(const Metadata& metadata, DaemonId id);
/// Whether a daemon is unknown, is down or has left.
bool is_lost(const Metadata& metadata, DaemonId id);

/// The partitions that a joining gateway or store should take over; empty if there are none.
std::vector<PartitionMove> plan_join(const Metadata& metadata, const Daemon& joining);
/// The moves of all partitions of a leaving gateway or store; errors if no other daemon can take one of them.
Result<std::vector<PartitionMove>> plan_drain(const Metadata& metadata, const Daemon& leaving);
/// Moves of the unlocked partitions of a store that is down to stores that are up, which also replace any other lost
/// stores of these partitions. Omits partitions for which there is no substitute store.
std::vector<PartitionMove> plan_repair(const Metadata& metadata, const Daemon& lost_store);

/// The gateways that may own partitions now, with the number of partitions that each owns.
LoadByDaemon partitions_per_gateway(const Metadata& metadata);
/// The gateway that owns the fewest partitions; id 0 if there is none other than `except`.
DaemonId least_loaded_gateway(const LoadByDaemon& load, DaemonId except);

/// Implement `plan_join` and `plan_drain` for stores.
std::vector<PartitionMove> plan_store_join(const Metadata& metadata, const Daemon& joining);
Result<std::vector<PartitionMove>> plan_store_drain(const Metadata& metadata, const Daemon& leaving);

}  // namespace mosskeel::placement
