#pragma once
// The changes that the metadata log can hold. Each is a pure function from one metadata value to the next; nothing else
// makes a new value. The order of a struct's fields and of the variant's alternatives is the format on disk and on the
// wire.
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

/// Puts a daemon into the directory. Rejected while another daemon at its address may still run.
struct Register {
  MOSSKEEL_FIELDS(Register, (DaemonInfo, self));
  bool operator==(const Register&) const = default;
};

/// Adds a registered controller that is up to the core, as long as the core has fewer live members than it may have.
struct AddCoreMember {
  MOSSKEEL_FIELDS(AddCoreMember, (DaemonId, node));
  bool operator==(const AddCoreMember&) const = default;
};

/// Swaps a member that is down for a spare controller in one step. Only operators use it: majorities of the core before
/// and after need not meet where one more member is lost.
struct ReplaceCoreMember {
  MOSSKEEL_FIELDS(ReplaceCoreMember, (DaemonId, removed), (DaemonId, added));
  bool operator==(const ReplaceCoreMember&) const = default;
};

/// A majority of the controllers misses the daemon's heartbeats. A gateway loses its partitions to other gateways at
/// once.
struct MarkDown {
  MOSSKEEL_FIELDS(MarkDown, (DaemonId, node));
  bool operator==(const MarkDown&) const = default;
};

/// The daemon sends heartbeats again. One without partitions joins anew.
struct MarkUp {
  MOSSKEEL_FIELDS(MarkUp, (DaemonId, node));
  bool operator==(const MarkUp&) const = default;
};

/// Begins the sequence that gives a registered daemon its share of the partitions.
struct PrepareJoin {
  MOSSKEEL_FIELDS(PrepareJoin, (DaemonId, node));
  bool operator==(const PrepareJoin&) const = default;
};

/// Begins the sequence that takes all partitions from a daemon that is to leave.
struct PrepareDrain {
  MOSSKEEL_FIELDS(PrepareDrain, (DaemonId, node));
  bool operator==(const PrepareDrain&) const = default;
};

/// Enacts the next step of a node's sequence; `step` guards against a step that is enacted twice.
struct AdvanceSequence {
  MOSSKEEL_FIELDS(AdvanceSequence, (DaemonId, node), (SequenceStep, step));
  bool operator==(const AdvanceSequence&) const = default;
};

/// Gives a node's sequence up: pending stores are dropped, its partitions unlocked.
struct CancelSequence {
  MOSSKEEL_FIELDS(CancelSequence, (DaemonId, node), (std::string, reason));
  bool operator==(const CancelSequence&) const = default;
};

/// Compare-and-set of the configuration on revision `base`. `revision` is the number that the operator gave; 0 stands
/// for the next one.
struct ApplyConfiguration {
  MOSSKEEL_FIELDS(ApplyConfiguration, (Revision, base), (Configuration, configuration), (Revision, revision));
  bool operator==(const ApplyConfiguration&) const = default;
};

/// Adds a replica of a cell's own or changes it.
struct SetReplica {
  MOSSKEEL_FIELDS(SetReplica, (Replica, replica));
  bool operator==(const SetReplica&) const = default;
};

/// Removes a replica by its name.
struct RemoveReplica {
  MOSSKEEL_FIELDS(RemoveReplica, (std::string, name));
  bool operator==(const RemoveReplica&) const = default;
};

/// Takes all work from a zone: its gateways lose their partitions, its replicas get no requests.
struct EvacuateZone {
  MOSSKEEL_FIELDS(EvacuateZone, (std::string, zone));
  bool operator==(const EvacuateZone&) const = default;
};

/// Ends an evacuation; the zone's replicas begin with a slow start.
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

/// Founds the core anew from its survivors and `fresh` controllers: the lost members never vote again, the cluster's id
/// changes. `generation` guards against a second re-founding of the same loss.
struct RefoundCluster {
  MOSSKEEL_FIELDS(RefoundCluster, (uint64_t, generation), (std::vector<DaemonId>, lost),
                  (std::vector<DaemonInfo>, fresh));
  bool operator==(const RefoundCluster&) const = default;
};

/// Begins to make everybody in the directory a quorum member. Until `FinishQuorumChange` majorities of the old and of
/// the new set must acknowledge (joint consensus).
struct BeginQuorumChange {
  bool operator==(const BeginQuorumChange&) const = default;
};

/// Majorities of both sets know of the quorum change of epoch `since`: the old set no longer counts.
struct FinishQuorumChange {
  MOSSKEEL_FIELDS(FinishQuorumChange, (Epoch, since));
  bool operator==(const FinishQuorumChange&) const = default;
};

/// How the log differs from a replica list, in one epoch: replicas to add or change, and names to remove.
struct UpdateReplicas {
  MOSSKEEL_FIELDS(UpdateReplicas, (std::vector<Replica>, updated), (std::vector<std::string>, removed));
  bool operator==(const UpdateReplicas&) const = default;
};

/// Takes a member that is down out of a core that keeps a majority without it.
struct RemoveCoreMember {
  MOSSKEEL_FIELDS(RemoveCoreMember, (DaemonId, node));
  bool operator==(const RemoveCoreMember&) const = default;
};

/// Begins the sequence that gives the unlocked partitions of a store that is down to other stores. The store stays down
/// and may come back without partitions.
struct PrepareRepair {
  MOSSKEEL_FIELDS(PrepareRepair, (DaemonId, node));
  bool operator==(const PrepareRepair&) const = default;
};

/// A store that is down and holds no partitions has left for good.
struct ForgetStore {
  MOSSKEEL_FIELDS(ForgetStore, (DaemonId, node));
  bool operator==(const ForgetStore&) const = default;
};

/// Append only: the index of an alternative is its number on disk and on the wire.
using Transformation =
    std::variant<std::monostate, FoundCluster, Register, AddCoreMember, ReplaceCoreMember, MarkDown, MarkUp,
                 PrepareJoin, PrepareDrain, AdvanceSequence, CancelSequence, ApplyConfiguration, SetReplica,
                 RemoveReplica, EvacuateZone, RestoreZone, MovePartition, MoveAllPartitions, RefoundCluster,
                 BeginQuorumChange, FinishQuorumChange, UpdateReplicas, RemoveCoreMember, PrepareRepair, ForgetStore>;

/// One entry of the metadata log. `commit_id` is unique to the commit that proposed it; empty where nobody retries it.
struct Entry {
  MOSSKEEL_FIELDS(Entry, (Epoch, epoch), (std::string, commit_id), (Transformation, change));
  bool operator==(const Entry&) const = default;
};

/// The value that the entry makes of this one, or why the entry is rejected. Deterministic: the same input gives the
/// same bytes on every daemon.
Result<Metadata> apply(const Metadata& metadata, const Entry& entry);

/// One line on what a transformation does, for logs and operators.
std::string describe(const Transformation& transformation);

}  // namespace mosskeel
