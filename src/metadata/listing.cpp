#include "metadata/listing.hpp"

#include "kernel/limits.hpp"

namespace mosskeel {
namespace {

bool same_but_cold(const Replica& a, const Replica& b) {
  return a.kind == b.kind && a.zone == b.zone && a.url == b.url && a.places == b.places && a.service == b.service;
}

}  // namespace

std::optional<ListReplicas> Listing::compare(const Replicas& log, const std::vector<Replica>& listed, Millis now) {
  ListReplicas change;
  std::set<std::string> there;
  for (auto& r : listed) {
    if (!there.insert(r.name).second) continue;
    auto i = log.find(r.name);
    auto [at, fresh] = seen_.try_emplace(r.name);
    auto& s = at->second;
    s.missing = 0;
    bool known = i != log.end() && same_but_cold(i->second, r);
    auto* l = known ? &i->second : nullptr;
    // Without a memory the log's time may have run for a while already, so only a longer one is news.
    auto expected = fresh ? now + (l ? std::min(l->cold_ms, r.cold_ms) : 0) : s.warm;
    bool longer = r.cold_ms > std::max<Millis>(0, expected - now) + limits::list_cold_slack;
    bool unheard = l && s.told && l->since == *s.told;
    if (l && l->health == Health::cold && l->cold_ms == 0 && r.health == Health::ready) {
      if (!s.restored) s.restored = now;
      if (now - s.restored < limits::list_lag) continue;
    } else {
      s.restored = 0;
    }
    if (l && l->health == r.health && !(r.health == Health::cold && (longer || unheard))) {
      s.warm = expected;
      s.told.reset();
      continue;
    }
    s.warm = now + r.cold_ms;
    s.told = l ? std::optional(l->since) : std::nullopt;
    change.set.push_back(r);
  }
  for (auto& [n, r] : log)
    if (!r.service.empty() && !there.count(n) && ++seen_[n].missing >= 2) change.gone.push_back(n);
  std::erase_if(seen_, [&](auto& x) { return !there.count(x.first) && !log.count(x.first); });
  if (change.set.empty() && change.gone.empty()) return std::nullopt;
  return change;
}

}  // namespace mosskeel
