#pragma once
// Pure transformations: the only way from one metadata value to the next.
#include "metadata/values.hpp"

namespace mosskeel {

/// `core_most` lets further controllers be admitted up to that number (0: core_size); `copies` is how many stores
/// keep a line (0: the default).
struct Found {
  BOOST_HANA_DEFINE_STRUCT(Found, (uint64_t, cluster), (uint32_t, core_size), (std::vector<Candidate>, members),
                           (uint32_t, core_most), (uint32_t, copies));
  bool operator==(const Found&) const = default;
};
struct Register {
  BOOST_HANA_DEFINE_STRUCT(Register, (Candidate, self));
  bool operator==(const Register&) const = default;
};
struct AdmitCore {
  BOOST_HANA_DEFINE_STRUCT(AdmitCore, (DaemonId, fresh));
  bool operator==(const AdmitCore&) const = default;
};
struct ReplaceCore {
  BOOST_HANA_DEFINE_STRUCT(ReplaceCore, (DaemonId, old), (DaemonId, fresh));
  bool operator==(const ReplaceCore&) const = default;
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
struct Advance {
  BOOST_HANA_DEFINE_STRUCT(Advance, (DaemonId, node), (Step, step));
  bool operator==(const Advance&) const = default;
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
struct DropReplica {
  BOOST_HANA_DEFINE_STRUCT(DropReplica, (std::string, name));
  bool operator==(const DropReplica&) const = default;
};
struct EvacuateZone {
  BOOST_HANA_DEFINE_STRUCT(EvacuateZone, (std::string, zone));
  bool operator==(const EvacuateZone&) const = default;
};
struct RestoreZone {
  BOOST_HANA_DEFINE_STRUCT(RestoreZone, (std::string, zone));
  bool operator==(const RestoreZone&) const = default;
};
/// Moves one slot's lease to another front at once: `move routes`.
struct MoveSlot {
  BOOST_HANA_DEFINE_STRUCT(MoveSlot, (SlotId, slot), (DaemonId, owner));
  bool operator==(const MoveSlot&) const = default;
};

/// Moves all of one front's leases to another.
struct MoveRoutes {
  BOOST_HANA_DEFINE_STRUCT(MoveRoutes, (DaemonId, from), (DaemonId, to));
  bool operator==(const MoveRoutes&) const = default;
};

/// Founds the core anew from its survivors: the lost members never vote again, the cluster's id changes.
struct Refound {
  BOOST_HANA_DEFINE_STRUCT(Refound, (uint64_t, generation), (std::vector<DaemonId>, lost),
                           (std::vector<Candidate>, fresh));
  bool operator==(const Refound&) const = default;
};

/// Everybody in the directory is to count in touch and acknowledgements; until `Recounted` both sets do.
struct Recount {
  bool operator==(const Recount&) const = default;
};
/// A majority of the old and of the new set know of the recount of that epoch: the old set counts no more.
struct Recounted {
  BOOST_HANA_DEFINE_STRUCT(Recounted, (Epoch, since));
  bool operator==(const Recounted&) const = default;
};

/// What a list of replicas says that the log does not have yet, in one epoch; names in `gone` are dropped.
struct ListReplicas {
  BOOST_HANA_DEFINE_STRUCT(ListReplicas, (std::vector<Replica>, set), (std::vector<std::string>, gone));
  bool operator==(const ListReplicas&) const = default;
};
/// Takes a member that is down out of a core that keeps a majority without it.
struct DropCore {
  BOOST_HANA_DEFINE_STRUCT(DropCore, (DaemonId, old));
  bool operator==(const DropCore&) const = default;
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
    std::variant<std::monostate, Found, Register, AdmitCore, ReplaceCore, MarkDown, MarkUp, PrepareJoin, PrepareDrain,
                 Advance, CancelSequence, ApplyConfiguration, SetReplica, DropReplica, EvacuateZone, RestoreZone,
                 MoveSlot, MoveRoutes, Refound, Recount, Recounted, ListReplicas, DropCore, PrepareRepair, ForgetStore>;

struct Entry {
  BOOST_HANA_DEFINE_STRUCT(Entry, (Epoch, epoch), (std::string, commit), (Transformation, change));
  bool operator==(const Entry&) const = default;
};

/// The next value, or why there is none. Same input, same bytes out.
Result<Metadata> apply(const Metadata& m, const Entry& e);

/// Everybody in the directory that has not left nor lost its address to another, as a recount would have it.
std::vector<DaemonId> everybody(const Metadata& m);

/// A configuration's findings, each with its place.
Findings check(const Configuration& m);

/// One line on what a transformation does, for logs and `explain`.
std::string describe(const Transformation& t);

namespace places {
/// Gives a joining node its share; empty findings where there is nothing to refuse.
std::vector<Move> for_join(const Metadata& m, const Daemon& d);
Result<std::vector<Move>> for_drain(const Metadata& m, const Daemon& d);
/// The stores' part of the two above.
std::vector<Move> for_store_join(const Metadata& m, const Daemon& joining);
Result<std::vector<Move>> for_store_drain(const Metadata& m, const Daemon& leaving);
/// New sets for the unlocked partitions of a store that is down, without it and without any other store that is down;
/// a partition for which no other store could take a place is left out.
std::vector<Move> for_repair(const Metadata& m, const Daemon& lost);
/// Fronts that may own slots now, busiest last.
DaemonId least_owner(const Metadata& m, const std::map<DaemonId, int>& load, DaemonId except);
std::map<DaemonId, int> owned(const Metadata& m);
}  // namespace places

}  // namespace mosskeel
