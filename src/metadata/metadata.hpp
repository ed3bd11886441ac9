#pragma once
// The cluster's metadata: one immutable value per epoch, produced by applying the entries of the metadata log.
#include "metadata/configuration.hpp"
#include "metadata/daemon.hpp"
#include "metadata/partition.hpp"
#include "metadata/replica.hpp"

namespace mosskeel {

/// A commit that was applied; lets a retry of it find the first outcome.
struct AppliedCommit {
  MOSSKEEL_FIELDS(AppliedCommit, (std::string, id), (Epoch, epoch));
  bool operator==(const AppliedCommit&) const = default;
};

/// A configuration that was applied: the revision that it replaced, its epoch and the digest of its commit id.
struct AppliedConfiguration {
  MOSSKEEL_FIELDS(AppliedConfiguration, (Revision, base), (Epoch, epoch), (uint64_t, commit_digest));
  bool operator==(const AppliedConfiguration&) const = default;
};

/// Immutable once published: daemons share it between threads as a `MetadataSnapshot`. New values come only from
/// `apply`. The order of the fields is the format on the wire and on disk.
struct Metadata {
  /// - `cluster`: id of the cluster, 0 before the founding; each re-founding changes it and raises `generation`
  /// - `core_size`: target number of core members; `max_core_size`: number of members that the core may grow to
  /// - `members`: the core members, the controllers that vote
  /// - `evacuated`: zones that get no requests and whose gateways own no partitions
  /// - `applied_commits`, `applied_configurations`: the most recent ones, oldest first
  /// - `quorum_members`: daemons whose majority must acknowledge a change; while the set itself changes (joint
  ///   consensus, begun at `quorum_change_epoch`) also a majority of `incoming_quorum_members`, else empty
  /// - `configured_replication_factor`: as set at the founding; see `replication_factor()`
  MOSSKEEL_FIELDS(Metadata, (Epoch, epoch), (uint64_t, cluster), (uint32_t, core_size), (uint64_t, generation),
                  (std::vector<DaemonId>, members), (Directory, directory), (uint64_t, next_id), (Replicas, replicas),
                  (std::vector<Partition>, partitions), (Locks, locks), (Sequences, sequences), (Revision, revision),
                  (Configuration, configuration), (std::set<std::string>, evacuated),
                  (std::vector<AppliedCommit>, applied_commits), (std::vector<uint64_t>, former_clusters),
                  (std::vector<DaemonId>, quorum_members), (std::vector<DaemonId>, incoming_quorum_members),
                  (Epoch, quorum_change_epoch), (uint32_t, max_core_size), (uint32_t, configured_replication_factor),
                  (std::vector<AppliedConfiguration>, applied_configurations));
  bool operator==(const Metadata&) const = default;

  /// Null if the directory has no such daemon.
  const Daemon* find(DaemonId id) const;
  const Daemon* find(Incarnation incarnation) const;
  /// The daemon that has this address now: the latest one that registered there and has not left.
  const Daemon* find_at(const Address& address) const;

  bool is_core_member(Incarnation incarnation) const;
  /// Whether this is another controller at the address of a core member. Such a controller, which has an empty disk,
  /// may help to re-found a core that has lost all its members.
  bool replaces_member(const DaemonInfo& candidate) const;

  using DaemonPredicate = std::function<bool(const Daemon&)>;

  /// Makes a daemon a quorum member in place of one that it replaced at the same address and that has therefore
  /// provably stopped.
  void replace_in_quorum(DaemonId old_id, DaemonId new_id);
  /// The stores in a set of daemons.
  std::vector<DaemonId> stores_among(const std::vector<DaemonId>& daemons) const;
  /// Whether the daemons that satisfy the predicate are a majority of the quorum members and, during a quorum change,
  /// also of the incoming ones.
  bool has_fleet_majority(const DaemonPredicate& predicate) const;
  /// Whether the daemons that satisfy the predicate, together with a majority of the core, suffice to acknowledge a
  /// change: a majority of the quorum members or of the stores among them and, during a quorum change, also of the
  /// incoming ones. Does not depend on gateways, of which any number may be lost. Intersects every majority contact
  /// that lets a gateway run without the core, see `HeartbeatAcknowledgements::last_majority_contact`.
  bool has_quorum(const DaemonPredicate& predicate) const;

  /// The epoch at which this commit was applied; empty if it was not, or is no longer remembered.
  std::optional<Epoch> epoch_of_commit(const std::string& commit_id) const;
  /// Whether the configurations applied on this revision are no longer remembered, so that an applied one cannot be
  /// distinguished from a rejected one.
  bool forgotten(Revision base) const;

  /// The number of stores that should keep each history.
  size_t replication_factor() const;
  /// How many of a partition's stores must have synced a record before it is committed; one fewer may be lost at the
  /// same time. Never less than a majority of the replication factor, even if there are fewer stores.
  size_t write_quorum(size_t store_count) const;
  /// The smallest number of a partition's stores that intersects every write quorum.
  size_t read_quorum(size_t store_count) const;
  /// Whether a store is in any partition's present or pending set of stores.
  bool holds_partitions(DaemonId store) const;
};
using MetadataSnapshot = std::shared_ptr<const Metadata>;

/// The cluster's id after its next re-founding; messages with the old id are fenced off.
uint64_t next_cluster_id(uint64_t cluster, uint64_t generation);
/// Whether a cluster id results from this cluster's id by at most `kMaxMissedGenerations` re-foundings.
bool is_successor_cluster(const Metadata& metadata, uint64_t cluster);

/// How many stores must keep each history so that a write quorum survives the loss of this many machines or zones.
uint32_t replication_factor_for(uint32_t lost_machines, uint32_t lost_zones);

/// The smallest majority of a set of this size.
size_t majority_of(size_t set_size);

}  // namespace mosskeel
