#pragma once
// Pure transformations: the only way from one metadata value to the next.
#include "metadata/metadata.hpp"

namespace mosskeel {

/// `max_core_size` lets further controllers be admitted up to that number (0: core_size); `replication_factor` is how
/// many stores keep a history (0: the default).
struct FoundCluster {
  BOOST_HANA_DEFINE_STRUCT(FoundCluster, (uint64_t, cluster), (uint32_t, core_size), (std::vector<Candidate>, members),
                           (uint32_t, max_core_size), (uint32_t, replication_factor));
  bool operator==(const FoundCluster&) const = default;
};
struct Register {
  BOOST_HANA_DEFINE_STRUCT(Register, (Candidate, self));
  bool operator==(const Register&) const = default;
};
struct AddCoreMember {
  BOOST_HANA_DEFINE_STRUCT(AddCoreMember, (DaemonId, node));
  bool operator==(const AddCoreMember&) const = default;
};
struct ReplaceCoreMember {
  BOOST_HANA_DEFINE_STRUCT(ReplaceCoreMember, (DaemonId, removed), (DaemonId, added));
  bool operator==(const ReplaceCoreMember&) const = default;
};
struct MarkDown {
  BOOST_HANA_DEFINE_STRUCT(MarkDown, (DaemonId, node));
  bool operator==(const MarkDown&) const = default;
};
struct MarkUp {
  BOOST_HANA_DEFINE_STRUCT(MarkUp, (DaemonId, node));
  bool operator==(const MarkUp&) const = default;
};
struct PrepareJoin {
  BOOST_HANA_DEFINE_STRUCT(PrepareJoin, (DaemonId, node));
  bool operator==(const PrepareJoin&) const = default;
};
struct PrepareDrain {
  BOOST_HANA_DEFINE_STRUCT(PrepareDrain, (DaemonId, node));
  bool operator==(const PrepareDrain&) const = default;
};
/// The next step of a node's sequence: StartJoin, MidJoin, FinishJoin and their drain kin.
struct AdvanceSequence {
  BOOST_HANA_DEFINE_STRUCT(AdvanceSequence, (DaemonId, node), (SequenceStep, step));
  bool operator==(const AdvanceSequence&) const = default;
};
struct CancelSequence {
  BOOST_HANA_DEFINE_STRUCT(CancelSequence, (DaemonId, node), (std::string, reason));
  bool operator==(const CancelSequence&) const = default;
};
/// `revision` is the number that the operator gave; 0 stands for the next one.
struct ApplyConfiguration {
  BOOST_HANA_DEFINE_STRUCT(ApplyConfiguration, (Revision, base), (Configuration, configuration), (Revision, revision));
  bool operator==(const ApplyConfiguration&) const = default;
};
struct SetReplica {
  BOOST_HANA_DEFINE_STRUCT(SetReplica, (Replica, replica));
  bool operator==(const SetReplica&) const = default;
};
struct RemoveReplica {
  BOOST_HANA_DEFINE_STRUCT(RemoveReplica, (std::string, name));
  bool operator==(const RemoveReplica&) const = default;
};
struct EvacuateZone {
  BOOST_HANA_DEFINE_STRUCT(EvacuateZone, (std::string, zone));
  bool operator==(const EvacuateZone&) const = default;
};
struct RestoreZone {
  BOOST_HANA_DEFINE_STRUCT(RestoreZone, (std::string, zone));
  bool operator==(const RestoreZone&) const = default;
};
/// Moves one partition's lease to another front at once: `move routes`.
struct MovePartition {
  BOOST_HANA_DEFINE_STRUCT(MovePartition, (PartitionId, partition), (DaemonId, owner));
  bool operator==(const MovePartition&) const = default;
};

/// Moves all of one front's leases to another.
struct MoveAllPartitions {
  BOOST_HANA_DEFINE_STRUCT(MoveAllPartitions, (DaemonId, from), (DaemonId, to));
  bool operator==(const MoveAllPartitions&) const = default;
};

/// Founds the core anew from its survivors: the lost members never vote again, the cluster's id changes.
struct RefoundCluster {
  BOOST_HANA_DEFINE_STRUCT(RefoundCluster, (uint64_t, generation), (std::vector<DaemonId>, lost),
                           (std::vector<Candidate>, fresh));
  bool operator==(const RefoundCluster&) const = default;
};

/// Everybody in the directory is to count in touch and acknowledgements; until `FinishQuorumChange` both sets do.
struct BeginQuorumChange {
  bool operator==(const BeginQuorumChange&) const = default;
};
/// A majority of the old and of the new set know of the recount of that epoch: the old set counts no more.
struct FinishQuorumChange {
  BOOST_HANA_DEFINE_STRUCT(FinishQuorumChange, (Epoch, since));
  bool operator==(const FinishQuorumChange&) const = default;
};

/// What a list of replicas says that the log does not have yet, in one epoch; names in `removed` are dropped.
struct UpdateReplicas {
  BOOST_HANA_DEFINE_STRUCT(UpdateReplicas, (std::vector<Replica>, updated), (std::vector<std::string>, removed));
  bool operator==(const UpdateReplicas&) const = default;
};
/// Takes a member that is down out of a core that keeps a majority without it.
struct RemoveCoreMember {
  BOOST_HANA_DEFINE_STRUCT(RemoveCoreMember, (DaemonId, node));
  bool operator==(const RemoveCoreMember&) const = default;
};

/// Gives the unlocked places of a store that is down to other stores; it stays down, and may come back empty-handed.
struct PrepareRepair {
  BOOST_HANA_DEFINE_STRUCT(PrepareRepair, (DaemonId, node));
  bool operator==(const PrepareRepair&) const = default;
};
/// A store that is down and holds no places has left for good.
struct ForgetStore {
  BOOST_HANA_DEFINE_STRUCT(ForgetStore, (DaemonId, node));
  bool operator==(const ForgetStore&) const = default;
};

/// Append only: the index is what the log keeps.
using Transformation =
    std::variant<std::monostate, FoundCluster, Register, AddCoreMember, ReplaceCoreMember, MarkDown, MarkUp,
                 PrepareJoin, PrepareDrain, AdvanceSequence, CancelSequence, ApplyConfiguration, SetReplica,
                 RemoveReplica, EvacuateZone, RestoreZone, MovePartition, MoveAllPartitions, RefoundCluster,
                 BeginQuorumChange, FinishQuorumChange, UpdateReplicas, RemoveCoreMember, PrepareRepair, ForgetStore>;

struct Entry {
  BOOST_HANA_DEFINE_STRUCT(Entry, (Epoch, epoch), (std::string, commit_id), (Transformation, change));
  bool operator==(const Entry&) const = default;
};

/// The next value, or why there is none. Same input, same bytes out.
Result<Metadata> apply(const Metadata& m, const Entry& e);

/// Everybody in the directory that has not left nor lost its address to another, as a recount would have it.
std::vector<DaemonId> eligible_quorum_members(const Metadata& m);

/// A configuration's findings, each with its place.
Errors validate(const Configuration& m);

/// One line on what a transformation does, for logs and `explain`.
std::string describe(const Transformation& t);

namespace placement {
/// Gives a joining node its share; empty findings where there is nothing to refuse.
std::vector<PartitionMove> plan_join(const Metadata& m, const Daemon& d);
Result<std::vector<PartitionMove>> plan_drain(const Metadata& m, const Daemon& d);
/// The stores' part of the two above.
std::vector<PartitionMove> plan_store_join(const Metadata& m, const Daemon& joining);
Result<std::vector<PartitionMove>> plan_store_drain(const Metadata& m, const Daemon& leaving);
/// New sets for the unlocked partitions of a store that is down, without it and without any other store that is down;
/// a partition for which no other store could take a place is left out.
std::vector<PartitionMove> plan_repair(const Metadata& m, const Daemon& lost);
/// Fronts that may own partitions now, busiest last.
DaemonId least_loaded_front(const Metadata& m, const std::map<DaemonId, int>& load, DaemonId except);
std::map<DaemonId, int> partitions_per_front(const Metadata& m);
}  // namespace placement

}  // namespace mosskeel
