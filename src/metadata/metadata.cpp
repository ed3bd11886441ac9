#include "metadata/metadata.hpp"
#include "metadata/constants.hpp"

#include <algorithm>

namespace mosskeel {

const char* name(Role r) {
  static const char* const n[] = {"controller", "front", "store"};
  return n[static_cast<int>(r)];
}
const char* name(DaemonState s) {
  static const char* const n[] = {"registered", "up", "draining", "down", "left"};
  return n[static_cast<int>(s)];
}
const char* name(ReplicaHealth f) {
  static const char* const n[] = {"cold", "ready", "leaving"};
  return n[static_cast<int>(f)];
}
const char* name(SequenceKind k) {
  static const char* const n[] = {"join", "drain", "repair"};
  return n[static_cast<int>(k)];
}
const char* name(SequenceStep s) {
  static const char* const n[] = {"start", "mid", "finish"};
  return n[static_cast<int>(s)];
}

const char* name(PathKind k) {
  static const char* const n[] = {"safe", "unsafe", "streaming"};
  return n[static_cast<int>(k)];
}

const Cell* Configuration::cell(const std::string& n) const {
  for (auto& c : cells)
    if (c.name == n)
      return &c;
  return nullptr;
}

const Service* Configuration::service(const std::string& n) const {
  for (auto& s : services)
    if (s.name == n)
      return &s;
  return nullptr;
}

const Daemon* Metadata::find(DaemonId id) const {
  auto i = directory.find(id);
  return i == directory.end() ? nullptr : &i->second;
}

const Daemon* Metadata::find(Incarnation incarnation) const {
  for (auto& [id, d] : directory)
    if (d.self.incarnation == incarnation)
      return &d;
  return nullptr;
}

const Daemon* Metadata::find_at(const Address& a) const {
  const Daemon* last = nullptr;
  for (auto& [id, d] : directory)
    if (d.self.address == a && d.state != DaemonState::left)
      last = &d;
  return last;
}

bool Metadata::is_core_member(Incarnation incarnation) const {
  for (auto id : members)
    if (auto* d = find(id); d && d->self.incarnation == incarnation)
      return true;
  return false;
}

void Metadata::replace_in_quorum(DaemonId old, DaemonId fresh) {
  for (auto* v : {&quorum_members, &incoming_quorum_members}) {
    std::replace(v->begin(), v->end(), old, fresh);
    std::sort(v->begin(), v->end());
    v->erase(std::unique(v->begin(), v->end()), v->end());
  }
}

bool Metadata::has_quorum(const std::function<bool(const Daemon&)>& has) const {
  auto most = [&](const std::vector<DaemonId>& v) {
    auto n = std::count_if(v.begin(), v.end(), [&](auto id) {
      auto* d = find(id);
      return d && has(*d);
    });
    return static_cast<size_t>(n) >= majority_of(v.size());
  };
  return most(quorum_members) && (incoming_quorum_members.empty() || most(incoming_quorum_members));
}

bool Metadata::replaces_member(const Candidate& c) const {
  return c.role == Role::controller && std::any_of(members.begin(), members.end(), [&](auto id) {
           auto* d = find(id);
           return d && d->self.address == c.address && d->self.incarnation != c.incarnation;
         });
}

std::optional<Epoch> Metadata::epoch_of_commit(const std::string& commit) const {
  for (auto& r : applied_commits)
    if (r.id == commit)
      return r.epoch;
  auto id = digest(commit);
  for (auto& o : applied_configurations)
    if (o.commit_digest == id)
      return o.epoch;
  return std::nullopt;
}

bool Metadata::forgotten(Revision base) const {
  return !applied_configurations.empty() && base < applied_configurations.front().base;
}

size_t Metadata::replication_factor() const {
  return std::max(configured_replication_factor, kDefaultHistoryReplicas);
}

/// Never fewer than a majority of the full number, however few stores there are.
size_t Metadata::write_quorum(size_t set) const {
  return majority_of(std::max(set, replication_factor()));
}

/// Too few stores for any record to count are all asked.
size_t Metadata::read_quorum(size_t set) const {
  auto write = write_quorum(set);
  return set < write ? set : set + 1 - write;
}

bool Metadata::holds_partitions(DaemonId store) const {
  return std::any_of(partitions.begin(), partitions.end(), [&](auto& s) {
    return std::count(s.stores.begin(), s.stores.end(), store) ||
           std::count(s.pending_stores.begin(), s.pending_stores.end(), store);
  });
}

uint64_t next_cluster_id(uint64_t cluster, uint64_t generation) {
  return digest(hex(cluster), generation);
}

bool is_successor_cluster(const Metadata& m, uint64_t later) {
  auto c = m.cluster;
  for (uint64_t k = 0; k < kMaxMissedGenerations; ++k) {
    c = next_cluster_id(c, m.generation + k);
    if (c == later)
      return true;
  }
  return false;
}

PartitionId partition_of(const std::string& cell, const std::string& program) {
  return PartitionId{static_cast<uint32_t>(digest(program, digest(cell)) % kPartitionCount)};
}

uint32_t replication_factor_for(uint32_t machines, uint32_t zones) {
  return std::max(kDefaultHistoryReplicas, 2 * std::max(machines, zones) + 1);
}

size_t majority_of(size_t n) {
  return n / 2 + 1;
}

}  // namespace mosskeel
