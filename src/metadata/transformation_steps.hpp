#pragma once
// One function for each transformation, and their shared helpers. Internal to src/metadata.
//
// `transform` gets a copy of the metadata whose epoch is already that of the entry. It returns the changed value, or
// errors.
#include "metadata/transformation.hpp"

namespace mosskeel::transformations {

Result<Metadata> transform(Metadata metadata, const std::monostate& change);
// Core and quorum: core_transformations.cpp
Result<Metadata> transform(Metadata metadata, const FoundCluster& change);
Result<Metadata> transform(Metadata metadata, const RefoundCluster& change);
Result<Metadata> transform(Metadata metadata, const AddCoreMember& change);
Result<Metadata> transform(Metadata metadata, const ReplaceCoreMember& change);
Result<Metadata> transform(Metadata metadata, const RemoveCoreMember& change);
Result<Metadata> transform(Metadata metadata, const BeginQuorumChange& change);
Result<Metadata> transform(Metadata metadata, const FinishQuorumChange& change);
// Daemons of the directory: daemon_transformations.cpp
Result<Metadata> transform(Metadata metadata, const Register& change);
Result<Metadata> transform(Metadata metadata, const MarkDown& change);
Result<Metadata> transform(Metadata metadata, const MarkUp& change);
Result<Metadata> transform(Metadata metadata, const ForgetStore& change);
// Sequences: sequence_transformations.cpp
Result<Metadata> transform(Metadata metadata, const PrepareJoin& change);
Result<Metadata> transform(Metadata metadata, const PrepareDrain& change);
Result<Metadata> transform(Metadata metadata, const PrepareRepair& change);
Result<Metadata> transform(Metadata metadata, const AdvanceSequence& change);
Result<Metadata> transform(Metadata metadata, const CancelSequence& change);
// Owners of partitions: partition_transformations.cpp
Result<Metadata> transform(Metadata metadata, const MovePartition& change);
Result<Metadata> transform(Metadata metadata, const MoveAllPartitions& change);
// Configuration, replicas, zones: configuration_transformations.cpp
Result<Metadata> transform(Metadata metadata, const ApplyConfiguration& change);
Result<Metadata> transform(Metadata metadata, const SetReplica& change);
Result<Metadata> transform(Metadata metadata, const RemoveReplica& change);
Result<Metadata> transform(Metadata metadata, const UpdateReplicas& change);
Result<Metadata> transform(Metadata metadata, const EvacuateZone& change);
Result<Metadata> transform(Metadata metadata, const RestoreZone& change);

/// The error result of a transformation that is not valid for the present metadata.
inline Errors reject(std::string location, std::string message) {
  return {{std::move(location), std::move(message), ErrorCode::rejected}};
}

/// A daemon, as named in errors and log messages.
inline std::string to_text(DaemonId id) {
  return "daemon " + std::to_string(id.value());
}

/// A partition, as named in errors, log messages and operators' commands.
inline std::string to_text(PartitionId id) {
  return "slot " + std::to_string(id.value());
}

/// Changes the state of a daemon in the directory and the epoch of that change.
void set_state(Metadata& metadata, Daemon& daemon, DaemonState state);

/// Gives a partition another owner; the new term fences off the old owner.
void set_owner(const Metadata& metadata, Partition& partition, DaemonId owner);

/// Gives all partitions of one owner to another owner.
void transfer_ownership(Metadata& metadata, DaemonId from, DaemonId to);

/// Distributes the partitions of a gateway over the other gateways; if there are none, the partitions have no owner.
void redistribute_ownership(Metadata& metadata, DaemonId gateway);

/// Ends a node's sequence, if it has one, and unlocks its partitions.
void end_sequence(Metadata& metadata, DaemonId node);

}  // namespace mosskeel::transformations
