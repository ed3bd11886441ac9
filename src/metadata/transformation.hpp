#pragma once
// The changes that the metadata log can contain. Each is a pure function from one metadata value to the next; there is
// no other way to produce a new value. The order of a struct's fields and of the variant's alternatives is the format
// on disk and on the wire.
#include "metadata/core_membership.hpp"
#include "metadata/metadata.hpp"
#include "metadata/placement.hpp"

namespace mosskeel {

/// The first entry of each log. `max_core_size` is how many members the core may grow to (0: `core_size`),
/// `replication_factor` how many stores keep each history (0: `kDefaultHistoryReplicas`).
struct FoundCluster {
  MOSSKEEL_FIELDS(FoundCluster, (uint64_t, cluster), (uint32_t, core_size), (std::vector<DaemonInfo>, members),
                  (uint32_t, max_core_size), (uint32_t, replication_factor));
  bool operator==(const FoundCluster&) const = default;
};

/// Adds a daemon to the directory. Rejected while another daemon at its address may still be running.
struct Register {
  MOSSKEEL_FIELDS(Register, (DaemonInfo, self));
  bool operator==(const Register&) const = default;
};

/// Adds a registered controller that is up to the core, unless the core already has its maximum number of live members.
struct AddCoreMember {
  MOSSKEEL_FIELDS(AddCoreMember, (DaemonId, node));
  bool operator==(const AddCoreMember&) const = default;
};

/// Replaces a member that is down by a spare controller in one step. Used only by operators, because majorities of the
/// core before and after need not intersect if one more member is lost.
struct ReplaceCoreMember {
  MOSSKEEL_FIELDS(ReplaceCoreMember, (DaemonId, removed), (DaemonId, added));
  bool operator==(const ReplaceCoreMember&) const = default;
};

/// Marks a daemon down whose heartbeats a majority of the controllers misses. A gateway's partitions are moved to other
/// gateways at once.
struct MarkDown {
  MOSSKEEL_FIELDS(MarkDown, (DaemonId, node));
  bool operator==(const MarkDown&) const = default;
};

/// Marks a daemon up that sends heartbeats again. A gateway, or a store without partitions, has to join again.
struct MarkUp {
  MOSSKEEL_FIELDS(MarkUp, (DaemonId, node));
  bool operator==(const MarkUp&) const = default;
};

/// Begins the sequence that gives a registered daemon its share of the partitions.
struct PrepareJoin {
  MOSSKEEL_FIELDS(PrepareJoin, (DaemonId, node));
  bool operator==(const PrepareJoin&) const = default;
};

/// Begins the sequence that moves all partitions away from a daemon that is to leave.
struct PrepareDrain {
  MOSSKEEL_FIELDS(PrepareDrain, (DaemonId, node));
  bool operator==(const PrepareDrain&) const = default;
};

/// Takes the next step of a node's sequence; `step` guards against taking a step twice.
struct AdvanceSequence {
  MOSSKEEL_FIELDS(AdvanceSequence, (DaemonId, node), (SequenceStep, step));
  bool operator==(const AdvanceSequence&) const = default;
};

/// Cancels a node's sequence: its pending stores are discarded and its partitions unlocked.
struct CancelSequence {
  MOSSKEEL_FIELDS(CancelSequence, (DaemonId, node), (std::string, reason));
  bool operator==(const CancelSequence&) const = default;
};

/// Compare-and-set of the configuration on revision `base`. `revision` is the number chosen by the operator; 0 stands
/// for the next one.
struct ApplyConfiguration {
  MOSSKEEL_FIELDS(ApplyConfiguration, (Revision, base), (Configuration, configuration), (Revision, revision));
  bool operator==(const ApplyConfiguration&) const = default;
};

/// Adds or changes a cell's own replica.
struct SetReplica {
  MOSSKEEL_FIELDS(SetReplica, (Replica, replica));
  bool operator==(const SetReplica&) const = default;
};

/// Removes a replica by its name.
struct RemoveReplica {
  MOSSKEEL_FIELDS(RemoveReplica, (std::string, name));
  bool operator==(const RemoveReplica&) const = default;
};

/// Moves all work out of a zone: its gateways lose their partitions and its replicas get no requests.
struct EvacuateZone {
  MOSSKEEL_FIELDS(EvacuateZone, (std::string, zone));
  bool operator==(const EvacuateZone&) const = default;
};

/// Ends an evacuation; the zone's replicas begin again with a slow start.
struct RestoreZone {
  MOSSKEEL_FIELDS(RestoreZone, (std::string, zone));
  bool operator==(const RestoreZone&) const = default;
};

/// Moves one partition to another gateway at once (operators' `move slot`).
struct MovePartition {
  MOSSKEEL_FIELDS(MovePartition, (PartitionId, partition), (DaemonId, owner));
  bool operator==(const MovePartition&) const = default;
};

/// Moves all of one gateway's partitions to another gateway at once (operators' `move routes`).
struct MoveAllPartitions {
  MOSSKEEL_FIELDS(MoveAllPartitions, (DaemonId, from), (DaemonId, to));
  bool operator==(const MoveAllPartitions&) const = default;
};

/// Re-founds the core from its survivors and the `fresh` controllers. The lost members never vote again, and the
/// cluster's id changes. `generation` guards against a second re-founding after the same loss.
struct RefoundCluster {
  MOSSKEEL_FIELDS(RefoundCluster, (uint64_t, generation), (std::vector<DaemonId>, lost),
                  (std::vector<DaemonInfo>, fresh));
  bool operator==(const RefoundCluster&) const = default;
};

/// Begins a change of the quorum members to all eligible daemons in the directory. Until `FinishQuorumChange`,
/// majorities of both the old and the new set must acknowledge (joint consensus).
struct BeginQuorumChange {
  bool operator==(const BeginQuorumChange&) const = default;
};

/// Finishes the quorum change of epoch `since`, once majorities of both sets know of it: the old set no longer counts.
struct FinishQuorumChange {
  MOSSKEEL_FIELDS(FinishQuorumChange, (Epoch, since));
  bool operator==(const FinishQuorumChange&) const = default;
};

/// Brings the log's replicas in line with a replica list, in one epoch: replicas to add or change, and names to remove.
struct UpdateReplicas {
  MOSSKEEL_FIELDS(UpdateReplicas, (std::vector<Replica>, updated), (std::vector<std::string>, removed));
  bool operator==(const UpdateReplicas&) const = default;
};

/// Removes a member that is down from a core that keeps a majority without it.
struct RemoveCoreMember {
  MOSSKEEL_FIELDS(RemoveCoreMember, (DaemonId, node));
  bool operator==(const RemoveCoreMember&) const = default;
};

/// Begins the sequence that moves the unlocked partitions of a store that is down to other stores. The store stays down
/// and may come back without partitions.
struct PrepareRepair {
  MOSSKEEL_FIELDS(PrepareRepair, (DaemonId, node));
  bool operator==(const PrepareRepair&) const = default;
};

/// Permanently removes a store that is down and holds no partitions.
struct ForgetStore {
  MOSSKEEL_FIELDS(ForgetStore, (DaemonId, node));
  bool operator==(const ForgetStore&) const = default;
};

/// Append only: the index of an alternative identifies it on disk and on the wire.
using Transformation =
    std::variant<std::monostate, FoundCluster, Register, AddCoreMember, ReplaceCoreMember, MarkDown, MarkUp,
                 PrepareJoin, PrepareDrain, AdvanceSequence, CancelSequence, ApplyConfiguration, SetReplica,
                 RemoveReplica, EvacuateZone, RestoreZone, MovePartition, MoveAllPartitions, RefoundCluster,
                 BeginQuorumChange, FinishQuorumChange, UpdateReplicas, RemoveCoreMember, PrepareRepair, ForgetStore>;

/// One entry of the metadata log. `commit_id` is unique to the commit that proposed it; empty if it is never retried.
struct Entry {
  MOSSKEEL_FIELDS(Entry, (Epoch, epoch), (std::string, commit_id), (Transformation, change));
  bool operator==(const Entry&) const = default;
};

/// Applies an entry: returns the next metadata value, or the errors for which the entry is rejected. Deterministic: the
/// same input gives the same bytes on every daemon.
Result<Metadata> apply(const Metadata& metadata, const Entry& entry);

/// A one-line description of a transformation, for logs and operators.
std::string describe(const Transformation& transformation);

}  // namespace mosskeel
