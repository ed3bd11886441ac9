#include "metadata/metadata.hpp"

#include <algorithm>

#include "metadata/constants.hpp"

namespace mosskeel {
namespace {

/// False for an empty set.
bool is_majority(const Metadata& metadata, const std::vector<DaemonId>& set,
                 const Metadata::DaemonPredicate& predicate) {
  auto count = std::count_if(set.begin(), set.end(), [&](DaemonId id) {
    auto* daemon = metadata.find(id);
    return daemon && predicate(*daemon);
  });
  return static_cast<size_t>(count) >= majority_of(set.size());
}

}  // namespace

const Daemon* Metadata::find(DaemonId id) const {
  auto entry = directory.find(id);
  return entry == directory.end() ? nullptr : &entry->second;
}

const Daemon* Metadata::find(Incarnation incarnation) const {
  for (auto& [id, daemon] : directory)
    if (daemon.self.incarnation == incarnation)
      return &daemon;
  return nullptr;
}

const Daemon* Metadata::find_at(const Address& address) const {
  const Daemon* last = nullptr;
  for (auto& [id, daemon] : directory)
    if (daemon.self.address == address && daemon.state != DaemonState::left)
      last = &daemon;
  return last;
}

bool Metadata::is_core_member(Incarnation incarnation) const {
  return std::any_of(members.begin(), members.end(), [&](DaemonId id) {
    auto* member = find(id);
    return member && member->self.incarnation == incarnation;
  });
}

bool Metadata::replaces_member(const DaemonInfo& candidate) const {
  if (candidate.role != Role::controller)
    return false;
  return std::any_of(members.begin(), members.end(), [&](DaemonId id) {
    auto* member = find(id);
    return member && member->self.address == candidate.address && member->self.incarnation != candidate.incarnation;
  });
}

void Metadata::replace_in_quorum(DaemonId old_id, DaemonId new_id) {
  for (auto* set : {&quorum_members, &incoming_quorum_members}) {
    std::replace(set->begin(), set->end(), old_id, new_id);
    std::sort(set->begin(), set->end());
    set->erase(std::unique(set->begin(), set->end()), set->end());
  }
}

std::vector<DaemonId> Metadata::stores_among(const std::vector<DaemonId>& daemons) const {
  std::vector<DaemonId> stores;
  std::copy_if(daemons.begin(), daemons.end(), std::back_inserter(stores), [&](DaemonId id) {
    auto* daemon = find(id);
    return daemon && daemon->self.role == Role::store;
  });
  return stores;
}

bool Metadata::has_fleet_majority(const DaemonPredicate& predicate) const {
  auto suffices = [&](const std::vector<DaemonId>& set) {
    return is_majority(*this, set, predicate);
  };
  return suffices(quorum_members) && (incoming_quorum_members.empty() || suffices(incoming_quorum_members));
}

bool Metadata::has_quorum(const DaemonPredicate& predicate) const {
  auto suffices = [&](const std::vector<DaemonId>& set) {
    return is_majority(*this, set, predicate) || is_majority(*this, stores_among(set), predicate);
  };
  return suffices(quorum_members) && (incoming_quorum_members.empty() || suffices(incoming_quorum_members));
}

std::optional<Epoch> Metadata::epoch_of_commit(const std::string& commit_id) const {
  for (auto& commit : applied_commits)
    if (commit.id == commit_id)
      return commit.epoch;
  // Configurations are remembered for longer than other commits.
  auto commit_digest = digest(commit_id);
  for (auto& applied : applied_configurations)
    if (applied.commit_digest == commit_digest)
      return applied.epoch;
  return std::nullopt;
}

bool Metadata::forgotten(Revision base) const {
  return !applied_configurations.empty() && base < applied_configurations.front().base;
}

size_t Metadata::replication_factor() const {
  return std::max(configured_replication_factor, kDefaultHistoryReplicas);
}

size_t Metadata::write_quorum(size_t store_count) const {
  return majority_of(std::max(store_count, replication_factor()));
}

size_t Metadata::read_quorum(size_t store_count) const {
  auto write = write_quorum(store_count);
  // If there are too few stores to commit any record, all of them are read.
  return store_count < write ? store_count : store_count + 1 - write;
}

bool Metadata::holds_partitions(DaemonId store) const {
  return std::any_of(partitions.begin(), partitions.end(), [&](const Partition& partition) {
    return contains(partition.stores, store) || contains(partition.pending_stores, store);
  });
}

uint64_t next_cluster_id(uint64_t cluster, uint64_t generation) {
  return digest(hex(cluster), generation);
}

bool is_successor_cluster(const Metadata& metadata, uint64_t cluster) {
  auto successor = metadata.cluster;
  for (uint64_t i = 0; i < kMaxMissedGenerations; ++i) {
    successor = next_cluster_id(successor, metadata.generation + i);
    if (successor == cluster)
      return true;
  }
  return false;
}

PartitionId partition_of(const std::string& cell, const std::string& program) {
  return PartitionId{static_cast<uint32_t>(digest(program, digest(cell)) % kPartitionCount)};
}

uint32_t replication_factor_for(uint32_t lost_machines, uint32_t lost_zones) {
  return std::max(kDefaultHistoryReplicas, 2 * std::max(lost_machines, lost_zones) + 1);
}

size_t majority_of(size_t set_size) {
  return set_size / 2 + 1;
}

}  // namespace mosskeel
