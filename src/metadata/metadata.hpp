#pragma once
// The one immutable metadata value, and what it is made of.
#include <boost/hana/define_struct.hpp>

#include "mosskeel/common.hpp"

namespace mosskeel {

enum class Role : uint8_t { controller, front, store };
enum class DaemonState : uint8_t { registered, up, draining, down, left };
enum class ReplicaHealth : uint8_t { warming_up, ready, draining };
/// A `repair` gives the places of a store that is down to others; the store itself may come back and join anew.
enum class SequenceKind : uint8_t { join, drain, repair };
enum class SequenceStep : uint8_t { start, mid, finish };

const char* name(Role r);
const char* name(DaemonState s);
const char* name(ReplicaHealth f);
const char* name(SequenceKind k);
const char* name(SequenceStep s);

/// What a daemon says of itself before the log knows it.
struct Candidate {
  BOOST_HANA_DEFINE_STRUCT(Candidate, (Incarnation, incarnation), (Role, role), (std::string, zone), (Address, address),
                           (Address, agent_address), (Address, http_address), (std::string, machine));
  bool operator==(const Candidate&) const = default;
};

struct Daemon {
  BOOST_HANA_DEFINE_STRUCT(Daemon, (DaemonId, id), (Candidate, self), (DaemonState, state), (Epoch, since));
  bool operator==(const Daemon&) const = default;
};

/// `service` names the service of the configuration that it belongs to, empty for a cell's own replica; `warm_up_ms` is
/// how much longer it is cold, counted from when its list said so.
struct Replica {
  BOOST_HANA_DEFINE_STRUCT(Replica, (std::string, name), (std::string, kind), (std::string, zone), (std::string, url),
                           (ReplicaHealth, health), (Epoch, since), (uint32_t, capacity), (std::string, service),
                           (int64_t, warm_up_ms));
  bool operator==(const Replica&) const = default;
};

/// Who owns a partition's programs, since when, and which stores hold their histories.
struct Partition {
  BOOST_HANA_DEFINE_STRUCT(Partition, (DaemonId, owner), (Epoch, term), (std::vector<DaemonId>, stores),
                           (std::vector<DaemonId>, pending_stores), (Epoch, stores_epoch));
  bool operator==(const Partition&) const = default;
};

struct PartitionMove {
  BOOST_HANA_DEFINE_STRUCT(PartitionMove, (PartitionId, partition), (DaemonId, owner), (std::vector<DaemonId>, stores));
  bool operator==(const PartitionMove&) const = default;
};

/// A join or a drain under way; `last_step_epoch` is the epoch that enacted the previous step.
struct Sequence {
  BOOST_HANA_DEFINE_STRUCT(Sequence, (DaemonId, node), (SequenceKind, kind), (SequenceStep, next_step),
                           (Epoch, started_epoch), (Epoch, last_step_epoch), (std::vector<PartitionMove>, moves));
  bool operator==(const Sequence&) const = default;
};

struct Route {
  BOOST_HANA_DEFINE_STRUCT(Route, (std::string, name), (std::string, kind), (std::vector<std::string>, replicas));
  bool operator==(const Route&) const = default;
  static std::set<std::string> optional_fields() { return {"replicas"}; }
};

struct Cell {
  BOOST_HANA_DEFINE_STRUCT(Cell, (std::string, name), (uint64_t, budget), (uint64_t, turn_limit),
                           (int64_t, retention_ms), (std::vector<Route>, routes));
  bool operator==(const Cell&) const = default;
  static std::set<std::string> optional_fields() { return {}; }
};

/// How often a request of a path may run: as often as need be, or once; a stream runs once unless it may be resumed.
enum class PathKind : uint8_t { safe, unsafe, streaming };
const char* name(PathKind k);

/// A service's part of a path's requests, by weight.
struct Share {
  BOOST_HANA_DEFINE_STRUCT(Share, (std::string, service), (uint32_t, weight));
  bool operator==(const Share&) const = default;
  static std::set<std::string> optional_fields() { return {}; }
};

/// Routes plain HTTP by host and longest prefix. Times in ms; `rank` 0 is the most urgent; `attempts` counts the
/// replicas that one request may be sent to; `kept` keeps turns and their chains for `retention_ms`.
struct Path {
  BOOST_HANA_DEFINE_STRUCT(Path, (std::string, name), (std::string, host), (std::string, prefix), (std::string, kind),
                           (int64_t, timeout_ms), (int64_t, target_ms), (uint32_t, rank), (uint32_t, attempts),
                           (bool, kept), (int64_t, retention_ms), (bool, sticky), (bool, resumable), (int64_t, gap_ms),
                           (std::vector<Share>, shares));
  bool operator==(const Path&) const = default;
  static std::set<std::string> optional_fields() {
    return {"target_ms", "rank", "attempts", "kept", "retention_ms", "sticky", "resumable", "gap_ms"};
  }
  PathKind path_kind() const {
    return kind == "safe" ? PathKind::safe : kind == "unsafe" ? PathKind::unsafe : PathKind::streaming;
  }
};

/// What replicas of one service bear: sessions each, requests a second while cold for `cold_ms`; `slots`,
/// `cache_tokens` and `event_tokens` tell of a model's batches, its memory and the tokens in one event.
struct Service {
  BOOST_HANA_DEFINE_STRUCT(Service, (std::string, name), (std::string, health_path), (uint32_t, sessions),
                           (int64_t, cold_ms), (double, cold_per_s), (uint32_t, slots), (uint64_t, cache_tokens),
                           (uint32_t, event_tokens));
  bool operator==(const Service&) const = default;
  static std::set<std::string> optional_fields() {
    return {"health_path", "sessions", "cold_ms", "cold_per_s", "slots", "cache_tokens", "event_tokens"};
  }
};

/// What a caller may send (bytes) and how long it may take over a head or stay idle (ms).
struct CallerLimits {
  BOOST_HANA_DEFINE_STRUCT(CallerLimits, (uint32_t, head_bytes), (uint32_t, body_bytes), (int64_t, head_ms),
                           (int64_t, idle_ms));
  bool operator==(const CallerLimits&) const = default;
  static std::set<std::string> optional_fields() { return {"head_bytes", "body_bytes", "head_ms", "idle_ms"}; }
};

/// `document` is what the operator sent, word for word, where that was not this JSON.
struct Configuration {
  BOOST_HANA_DEFINE_STRUCT(Configuration, (std::vector<Cell>, cells), (std::vector<Path>, paths),
                           (std::vector<Service>, services), (CallerLimits, callers), (std::string, document));
  bool operator==(const Configuration&) const = default;
  static std::set<std::string> optional_fields() { return {"paths", "services", "callers", "document"}; }
  const Cell* cell(const std::string& n) const;
  const Service* service(const std::string& n) const;
};

/// What became of a commit id.
struct AppliedCommit {
  BOOST_HANA_DEFINE_STRUCT(AppliedCommit, (std::string, id), (Epoch, epoch));
  bool operator==(const AppliedCommit&) const = default;
};

/// A configuration order that was taken: the revision that it replaced, its epoch and the digest of its commit id.
struct AppliedConfiguration {
  BOOST_HANA_DEFINE_STRUCT(AppliedConfiguration, (Revision, base), (Epoch, epoch), (uint64_t, commit_digest));
  bool operator==(const AppliedConfiguration&) const = default;
};

using Directory = std::map<DaemonId, Daemon>;
using Replicas = std::map<std::string, Replica>;
using Locks = std::map<PartitionId, DaemonId>;
using Sequences = std::map<DaemonId, Sequence>;

struct Metadata {
  BOOST_HANA_DEFINE_STRUCT(Metadata, (Epoch, epoch), (uint64_t, cluster), (uint32_t, core_size), (uint64_t, generation),
                           (std::vector<DaemonId>, members), (Directory, directory), (uint64_t, next_id),
                           (Replicas, replicas), (std::vector<Partition>, partitions), (Locks, locks),
                           (Sequences, sequences), (Revision, revision), (Configuration, configuration),
                           (std::set<std::string>, evacuated), (std::vector<AppliedCommit>, applied_commits),
                           (std::vector<uint64_t>, former_clusters), (std::vector<DaemonId>, quorum_members),
                           (std::vector<DaemonId>, incoming_quorum_members), (Epoch, quorum_change_epoch),
                           (uint32_t, max_core_size), (uint32_t, configured_replication_factor),
                           (std::vector<AppliedConfiguration>, applied_configurations));
  bool operator==(const Metadata&) const = default;

  const Daemon* find(DaemonId id) const;
  const Daemon* find(Incarnation incarnation) const;
  /// Who has this address now: the last that came there.
  const Daemon* find_at(const Address& a) const;
  bool is_core_member(Incarnation incarnation) const;
  /// An empty controller at the address of a member: it may help to found anew a core of which nobody is left.
  bool replaces_member(const Candidate& c) const;
  /// Lets a daemon count in place of one that lost its address to it, and so provably runs no more.
  void replace_in_quorum(DaemonId old, DaemonId fresh);
  /// Whether those for whom `has` holds are a majority of everybody who counts, before and after a recount.
  bool has_quorum(const std::function<bool(const Daemon&)>& has) const;
  /// The epoch at which this commit was taken; nothing where it was not, or is remembered no more.
  std::optional<Epoch> epoch_of_commit(const std::string& commit) const;
  /// Orders on this revision are remembered no more: one that was taken looks like one that lost its race.
  bool forgotten(Revision base) const;
  /// How many stores are to keep a history log.
  size_t replication_factor() const;
  /// How many of a partition's `set` stores must have synced a record before it counts; so many less one may be lost.
  size_t write_quorum(size_t set) const;
  /// So many of `set` stores hold between them every record that counts.
  size_t read_quorum(size_t set) const;
  /// Whether a store is in, or to come into, the set of any partition.
  bool holds_partitions(DaemonId store) const;
};
using View = std::shared_ptr<const Metadata>;

/// The cluster's id after its next re-founding; the old one is fenced off by it.
uint64_t next_cluster_id(uint64_t cluster, uint64_t generation);
/// Whether `later` is what `m`'s cluster becomes by a few re-foundings.
bool is_successor_cluster(const Metadata& m, uint64_t later);

/// The partition of a program, by its root's id.
PartitionId partition_of(const std::string& cell, const std::string& program);

/// How many stores keep a history log, so that a write quorum outlives these losses at once.
uint32_t replication_factor_for(uint32_t machines, uint32_t zones);

/// How many of a set must agree; never fewer than a majority of the full number of copies.
size_t majority_of(size_t n);

}  // namespace mosskeel
