#include <algorithm>

#include "metadata/constants.hpp"
#include "programs/admission_policy.hpp"
#include "programs/constants.hpp"

namespace mosskeel {

/// A replica's places are shared out over the fronts in the log; at least one each. While it is cold, one front alone
/// ramps it up for the whole fleet.
uint32_t ReplicaSelector::usable_capacity(const Replica& r, const Metadata& m, const Daemon& me, Millis now) const {
  if (r.health == ReplicaHealth::draining || m.evacuated.count(r.zone))
    return 0;
  std::vector<std::pair<uint64_t, DaemonId>> v;
  for (auto& [id, d] : m.directory)
    if (d.self.role == Role::front && (d.state == DaemonState::up || d.state == DaemonState::draining) &&
        !m.evacuated.count(d.self.zone))
      v.push_back({digest(r.name, id.value() + 1), id});
  std::sort(v.begin(), v.end());
  auto at = std::find_if(v.begin(), v.end(), [&](auto& x) { return x.second == me.id; });
  if (at == v.end())
    return 0;
  auto rank = static_cast<uint32_t>(at - v.begin()), all = static_cast<uint32_t>(v.size());
  if (r.health == ReplicaHealth::ready)
    return std::max(1u, r.capacity / all + (rank < r.capacity % all));
  if (rank >= kFrontsPerColdReplica)
    return 0;
  auto& c = cold_since_[r.name];
  if (c.first != r.since)
    c = {r.since, now};
  auto grown = (now - c.second) * r.capacity / kSlowStartDuration;
  return static_cast<uint32_t>(std::clamp<Millis>(grown, 1, r.capacity));
}

const Replica* ReplicaSelector::select_replica(const ProgramRequest& e, const Metadata& m, const Daemon& me, Millis now,
                                               bool& any) const {
  any = false;
  auto* c = m.configuration.cell(e.cell);
  if (!c)
    return nullptr;
  const Route* route = nullptr;
  for (auto& r : c->routes)
    if (r.name == e.route && r.kind == e.kind)
      route = &r;
  if (!route)
    return nullptr;
  const Replica* best = nullptr;
  std::tuple<int, int, int, uint64_t> top;
  for (auto& [n, r] : m.replicas) {
    if (r.kind != e.kind)
      continue;
    if (!route->replicas.empty() &&
        std::find(route->replicas.begin(), route->replicas.end(), n) == route->replicas.end())
      continue;
    auto room = usable_capacity(r, m, me, now);
    if (room == 0)
      continue;
    any = true;
    auto i = load_.find(n);
    uint32_t p = i == load_.end() ? 0 : i->second;
    auto b = bulk_.find(n);
    if (e.bulk && (b == bulk_.end() ? 0 : b->second) >= std::min(room, kMaxBulkRequestsPerReplica))
      continue;
    if (p >= room)
      continue;
    auto s = backed_off_.find(n);
    int back_off = s != backed_off_.end() && now < s->second;
    int high = p * 2 >= room;
    int far = r.zone != me.self.zone;
    auto affinity = digest(n, digest(e.prefix.empty() ? e.program : e.prefix));
    auto key = e.kind == "model" ? std::make_tuple(back_off, high, 0, affinity)
                                 : std::make_tuple(back_off, high, far, affinity);
    if (!best || key < top)
      best = &r, top = key;
  }
  return best;
}

void ReplicaSelector::took(const std::string& n, const ProgramRequest& e) {
  ++load_[n];
  if (e.bulk)
    ++bulk_[n];
}
void ReplicaSelector::gave(const std::string& n, const ProgramRequest& e) {
  if (auto& p = load_[n]; p)
    --p;
  if (auto& b = bulk_[n]; e.bulk && b)
    --b;
}
void ReplicaSelector::back_off(const std::string& n, Millis now) {
  backed_off_[n] = now + kReplicaBackoff;
}

}  // namespace mosskeel
