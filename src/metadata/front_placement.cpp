// Placement: which front owns a partition. store_places.cpp has the stores that keep it.
#include <algorithm>

#include "metadata/liveness.hpp"
#include "metadata/transformation.hpp"

namespace mosskeel::placement {

namespace {

std::vector<PartitionMove> join_front(const Metadata& m, const Daemon& d) {
  std::vector<PartitionMove> v;
  auto n = partitions_per_front(m);
  n[d.id] = static_cast<int>(
      std::count_if(m.partitions.begin(), m.partitions.end(), [&](auto& s) { return s.owner == d.id; }));
  size_t share = m.partitions.size() / std::max<size_t>(n.size(), 1);
  std::set<PartitionId> taken;
  auto take = [&](uint32_t i) {
    v.push_back({PartitionId{i}, d.id, m.partitions[i].stores});
    taken.insert(PartitionId{i});
    if (n.count(m.partitions[i].owner))
      --n[m.partitions[i].owner];
    ++n[d.id];
  };
  for (uint32_t i = 0; i < m.partitions.size(); ++i)
    if (!alive(m, m.partitions[i].owner) && !m.locks.count(PartitionId{i}))
      take(i);
  while (static_cast<size_t>(n[d.id]) < share) {
    uint32_t best = m.partitions.size();
    for (uint32_t i = 0; i < m.partitions.size(); ++i) {
      PartitionId s{i};
      if (taken.count(s) || m.locks.count(s) || m.partitions[i].owner == d.id)
        continue;
      if (best == m.partitions.size() || n[m.partitions[i].owner] > n[m.partitions[best].owner])
        best = i;
    }
    if (best == m.partitions.size() || n[m.partitions[best].owner] <= n[d.id] + 1)
      break;
    take(best);
  }
  return v;
}

Result<std::vector<PartitionMove>> drain_front(const Metadata& m, const Daemon& d) {
  std::vector<PartitionMove> moves;
  auto load = partitions_per_front(m);
  for (uint32_t i = 0; i < m.partitions.size(); ++i) {
    auto& partition = m.partitions[i];
    if (partition.owner != d.id)
      continue;
    auto to = least_loaded_front(m, load, d.id);
    if (to.value() == 0)
      return Errors{{"daemon " + std::to_string(d.id.value()), "no other front worker could take its partitions"}};
    ++load[to];
    moves.push_back({PartitionId{i}, to, partition.stores});
  }
  return moves;
}

}  // namespace

std::map<DaemonId, int> partitions_per_front(const Metadata& m) {
  std::map<DaemonId, int> n;
  for (auto& [id, d] : m.directory)
    if (d.self.role == Role::front && d.state == DaemonState::up && !m.evacuated.count(d.self.zone))
      n[id] = 0;
  for (auto& s : m.partitions)
    if (n.count(s.owner))
      ++n[s.owner];
  return n;
}

DaemonId least_loaded_front(const Metadata&, const std::map<DaemonId, int>& load, DaemonId except) {
  DaemonId best{0};
  for (auto& [id, k] : load)
    if (id != except && (best.value() == 0 || k < load.at(best)))
      best = id;
  return best;
}

std::vector<PartitionMove> plan_join(const Metadata& m, const Daemon& d) {
  return d.self.role == Role::front ? join_front(m, d) : plan_store_join(m, d);
}

Result<std::vector<PartitionMove>> plan_drain(const Metadata& m, const Daemon& d) {
  return d.self.role == Role::front ? drain_front(m, d) : plan_store_drain(m, d);
}

}  // namespace mosskeel::placement
