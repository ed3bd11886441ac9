#include "metadata/replica_list_reconciler.hpp"
#include "metadata/constants.hpp"

namespace mosskeel {
namespace {

bool same_but_cold(const Replica& a, const Replica& b) {
  return a.kind == b.kind && a.zone == b.zone && a.url == b.url && a.capacity == b.capacity && a.service == b.service;
}

}  // namespace

std::optional<UpdateReplicas> ReplicaListReconciler::reconcile(const Replicas& log, const std::vector<Replica>& listed,
                                                               Millis now) {
  UpdateReplicas change;
  std::set<std::string> there;
  for (auto& r : listed) {
    if (!there.insert(r.name).second)
      continue;
    auto i = log.find(r.name);
    auto [at, fresh] = seen_.try_emplace(r.name);
    auto& s = at->second;
    s.missing = 0;
    bool known = i != log.end() && same_but_cold(i->second, r);
    auto* l = known ? &i->second : nullptr;
    // Without a memory the log's time may have run for a while already, so only a longer one is news.
    auto expected = fresh ? now + (l ? std::min(l->warm_up_ms, r.warm_up_ms) : 0) : s.warm;
    bool longer = r.warm_up_ms > std::max<Millis>(0, expected - now) + kWarmUpTolerance;
    bool unheard = l && s.told && l->since == *s.told;
    if (l && l->health == ReplicaHealth::warming_up && l->warm_up_ms == 0 && r.health == ReplicaHealth::ready) {
      if (!s.restored)
        s.restored = now;
      if (now - s.restored < kMaxReplicaListLag)
        continue;
    } else {
      s.restored = 0;
    }
    if (l && l->health == r.health && !(r.health == ReplicaHealth::warming_up && (longer || unheard))) {
      s.warm = expected;
      s.told.reset();
      continue;
    }
    s.warm = now + r.warm_up_ms;
    s.told = l ? std::optional(l->since) : std::nullopt;
    change.updated.push_back(r);
  }
  for (auto& [n, r] : log)
    if (!r.service.empty() && !there.count(n) && ++seen_[n].missing >= 2)
      change.removed.push_back(n);
  std::erase_if(seen_, [&](auto& x) { return !there.count(x.first) && !log.count(x.first); });
  if (change.updated.empty() && change.removed.empty())
    return std::nullopt;
  return change;
}

}  // namespace mosskeel
