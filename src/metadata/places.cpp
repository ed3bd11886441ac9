// Placement: which front owns a slot. store_places.cpp has the stores that keep it.
#include <algorithm>

#include "kernel/limits.hpp"
#include "metadata/liveness.hpp"
#include "metadata/transform.hpp"

namespace mosskeel::places {

namespace {

std::vector<Move> join_front(const Metadata& m, const Daemon& d) {
  std::vector<Move> v;
  auto n = owned(m);
  n[d.id] = static_cast<int>(std::count_if(m.slots.begin(), m.slots.end(), [&](auto& s) { return s.owner == d.id; }));
  size_t share = m.slots.size() / std::max<size_t>(n.size(), 1);
  std::set<SlotId> taken;
  auto take = [&](uint32_t i) {
    v.push_back({SlotId{i}, d.id, m.slots[i].stores});
    taken.insert(SlotId{i});
    if (n.count(m.slots[i].owner)) --n[m.slots[i].owner];
    ++n[d.id];
  };
  for (uint32_t i = 0; i < m.slots.size(); ++i)
    if (!alive(m, m.slots[i].owner) && !m.locks.count(SlotId{i})) take(i);
  while (static_cast<size_t>(n[d.id]) < share) {
    uint32_t best = m.slots.size();
    for (uint32_t i = 0; i < m.slots.size(); ++i) {
      SlotId s{i};
      if (taken.count(s) || m.locks.count(s) || m.slots[i].owner == d.id) continue;
      if (best == m.slots.size() || n[m.slots[i].owner] > n[m.slots[best].owner]) best = i;
    }
    if (best == m.slots.size() || n[m.slots[best].owner] <= n[d.id] + 1) break;
    take(best);
  }
  return v;
}

Result<std::vector<Move>> drain_front(const Metadata& m, const Daemon& d) {
  std::vector<Move> moves;
  auto load = owned(m);
  for (uint32_t i = 0; i < m.slots.size(); ++i) {
    auto& slot = m.slots[i];
    if (slot.owner != d.id) continue;
    auto to = least_owner(m, load, d.id);
    if (to.v == 0) return Findings{{"daemon " + std::to_string(d.id.v), "no other front worker could take its slots"}};
    ++load[to];
    moves.push_back({SlotId{i}, to, slot.stores});
  }
  return moves;
}

}  // namespace

std::map<DaemonId, int> owned(const Metadata& m) {
  std::map<DaemonId, int> n;
  for (auto& [id, d] : m.directory)
    if (d.self.role == Role::front && d.state == DaemonState::up && !m.evacuated.count(d.self.zone)) n[id] = 0;
  for (auto& s : m.slots)
    if (n.count(s.owner)) ++n[s.owner];
  return n;
}

DaemonId least_owner(const Metadata&, const std::map<DaemonId, int>& load, DaemonId except) {
  DaemonId best{0};
  for (auto& [id, k] : load)
    if (id != except && (best.v == 0 || k < load.at(best))) best = id;
  return best;
}

std::vector<Move> for_join(const Metadata& m, const Daemon& d) {
  return d.self.role == Role::front ? join_front(m, d) : for_store_join(m, d);
}

Result<std::vector<Move>> for_drain(const Metadata& m, const Daemon& d) {
  return d.self.role == Role::front ? drain_front(m, d) : for_store_drain(m, d);
}

}  // namespace mosskeel::places
