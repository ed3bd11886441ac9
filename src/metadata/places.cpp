// Placement: which front owns a slot, which stores keep it.
#include <algorithm>

#include "kernel/limits.hpp"
#include "metadata/transform.hpp"

namespace mosskeel::places {

namespace {

bool alive(const Metadata& m, DaemonId id) {
  auto* d = m.find(id);
  return d && (d->state == DaemonState::up || d->state == DaemonState::registered);
}

std::string zone(const Metadata& m, DaemonId id) {
  auto* d = m.find(id);
  return d ? d->self.zone : "";
}

std::map<DaemonId, int> kept(const Metadata& m) {
  std::map<DaemonId, int> n;
  for (auto& [id, d] : m.directory)
    if (d.self.role == Role::store && d.state == DaemonState::up) n[id] = 0;
  for (auto& s : m.slots)
    for (auto id : s.stores) ++n[id];
  return n;
}

int same_zone(const Metadata& m, const std::vector<DaemonId>& v, const std::string& z, DaemonId but) {
  return static_cast<int>(std::count_if(v.begin(), v.end(), [&](auto id) { return id != but && zone(m, id) == z; }));
}

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

std::vector<Move> join_store(const Metadata& m, const Daemon& d) {
  std::vector<Move> v;
  auto n = kept(m);
  n[d.id];
  int live = 0;
  for (auto& [id, k] : n) live += id == d.id || alive(m, id);
  int share = static_cast<int>(m.slots.size() * std::min<size_t>(limits::copies, live)) / std::max(live, 1);
  for (uint32_t i = 0; i < m.slots.size(); ++i) {
    auto& s = m.slots[i];
    if (m.locks.count(SlotId{i}) || std::count(s.stores.begin(), s.stores.end(), d.id)) continue;
    auto set = s.stores;
    auto dead = std::find_if(set.begin(), set.end(), [&](auto id) {
      auto* x = m.find(id);
      return !x || x->state == DaemonState::down || x->state == DaemonState::left;
    });
    if (dead != set.end()) {
      *dead = d.id;
    } else if (set.size() < limits::copies) {
      set.push_back(d.id);
    } else if (n[d.id] < share) {
      auto w = std::max_element(set.begin(), set.end(), [&](auto a, auto b) {
        auto key = [&](DaemonId x) {
          int gain = same_zone(m, set, zone(m, x), x) - same_zone(m, set, d.self.zone, x);
          return std::make_pair(gain, n[x]);
        };
        return key(a) < key(b);
      });
      if (same_zone(m, set, d.self.zone, *w) > same_zone(m, set, zone(m, *w), *w)) continue;
      --n[*w];
      *w = d.id;
    } else {
      continue;
    }
    ++n[d.id];
    v.push_back({SlotId{i}, s.owner, set});
  }
  return v;
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
  return d.self.role == Role::front ? join_front(m, d) : join_store(m, d);
}

Result<std::vector<Move>> for_drain(const Metadata& m, const Daemon& d) {
  std::vector<Move> v;
  auto own = owned(m);
  auto n = kept(m);
  for (uint32_t i = 0; i < m.slots.size(); ++i) {
    auto& s = m.slots[i];
    if (d.self.role == Role::front && s.owner == d.id) {
      auto to = least_owner(m, own, d.id);
      if (to.v == 0)
        return Findings{{"daemon " + std::to_string(d.id.v), "no other front worker could take its slots"}};
      ++own[to];
      v.push_back({SlotId{i}, to, s.stores});
    }
    auto set = s.stores;
    auto w = std::find(set.begin(), set.end(), d.id);
    if (d.self.role != Role::store || w == set.end()) continue;
    DaemonId best{0};
    for (auto& [id, k] : n) {
      if (id == d.id || !alive(m, id) || std::count(set.begin(), set.end(), id)) continue;
      auto key = [&](DaemonId x) { return std::make_pair(same_zone(m, set, zone(m, x), d.id), n[x]); };
      if (best.v == 0 || key(id) < key(best)) best = id;
    }
    if (best.v == 0)
      return Findings{{"slot " + std::to_string(i),
                       "retiring this store would leave " + std::to_string(set.size() - 1) + " of " +
                           std::to_string(limits::copies) + " copies and no other store can take its place"}};
    *w = best;
    ++n[best];
    v.push_back({SlotId{i}, s.owner, set});
  }
  return v;
}

}  // namespace mosskeel::places
