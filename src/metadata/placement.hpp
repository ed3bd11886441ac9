#pragma once
// Placement of partitions: which gateway owns one, and which stores keep its histories.
#include "metadata/metadata.hpp"

namespace mosskeel::placement {

/// How many partitions, or replicas of partitions, each daemon has.
using LoadByDaemon = std::map<DaemonId, int>;

/// Whether a daemon may get partitions: it is up, or registered and about to join.
bool alive(const Metadata& metadata, DaemonId id);
/// Whether a daemon is unknown, down or gone.
bool lost(const Metadata& metadata, DaemonId id);

/// The partitions that a joining gateway or store should take; empty where there is nothing to take.
std::vector<PartitionMove> plan_join(const Metadata& metadata, const Daemon& joining);
/// Where all partitions of a leaving gateway or store go; errors where another daemon is lacking.
Result<std::vector<PartitionMove>> plan_drain(const Metadata& metadata, const Daemon& leaving);
/// New stores for the unlocked partitions of a store that is down, without it and without any other store that is down;
/// a partition for which there is no other store is left out.
std::vector<PartitionMove> plan_repair(const Metadata& metadata, const Daemon& lost_store);

/// The gateways that may own partitions now, with the number that each owns.
LoadByDaemon partitions_per_gateway(const Metadata& metadata);
/// The gateway that owns least; id 0 where there is none but `except`.
DaemonId least_loaded_gateway(const LoadByDaemon& load, DaemonId except);

/// The stores' part of `plan_join` and `plan_drain`.
std::vector<PartitionMove> plan_store_join(const Metadata& metadata, const Daemon& joining);
Result<std::vector<PartitionMove>> plan_store_drain(const Metadata& metadata, const Daemon& leaving);

}  // namespace mosskeel::placement
