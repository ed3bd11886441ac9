#include "routing/load_balancer.hpp"
#include "routing/constants.hpp"

#include <algorithm>
#include <cmath>

namespace mosskeel {

void LoadBalancer::update(const RoutingSnapshot& o, Millis now) {
  if (view_ == o.view && me_ == o.self_id)
    return;
  view_ = o.view;
  me_ = o.self_id;
  auto& m = *view_;
  std::string zone;
  std::vector<DaemonId> fronts;
  std::map<std::string, uint32_t> in_zone;
  for (auto& [id, d] : m.directory) {
    if (id == me_)
      zone = d.self.zone;
    if (d.self.role != Role::front || d.state == DaemonState::down || d.state == DaemonState::left)
      continue;
    fronts.push_back(id);
    ++in_zone[d.self.zone];
  }
  by_service_.clear();
  for (auto& [n, s] : seen_)
    s.present = false;
  for (auto& [n, r] : m.replicas) {
    if (r.service.empty() || r.health == ReplicaHealth::draining || m.evacuated.count(r.zone))
      continue;
    auto& s = seen_[n];
    s.r = &r;
    s.present = true;
    s.local = r.zone == zone;
    auto z = in_zone.find(r.zone);
    auto share = static_cast<double>(r.capacity) / std::max(1u, z == in_zone.end() ? 1u : z->second);
    s.cap = static_cast<uint32_t>(std::max(1.0, std::ceil(share * kCapacityShareFactor)));
    auto rank = [&](DaemonId id) {
      return digest(n, id.value() + 1);
    };
    auto first = std::min_element(fronts.begin(), fronts.end(), [&](auto a, auto b) { return rank(a) < rank(b); });
    s.mine = r.health != ReplicaHealth::warming_up || (first != fronts.end() && *first == me_);
    auto* c = m.configuration.service(r.service);
    s.rate = r.health == ReplicaHealth::warming_up && c ? c->cold_per_s * kSlowStartRateShare : 0;
    if (r.health == ReplicaHealth::warming_up && s.since != r.since)
      s.tokens = 1, s.cold_at = now;
    s.since = r.since;
    by_service_[r.service].push_back(&s);
  }
  std::erase_if(seen_, [](auto& x) { return !x.second.present && x.second.running == 0; });
}

bool LoadBalancer::free(Seen& s, Millis now) {
  if (!s.mine || now < s.backed_off || s.running >= s.cap)
    return false;
  if (s.rate <= 0)
    return s.r->health != ReplicaHealth::warming_up;
  s.tokens = std::min(s.tokens + s.rate * static_cast<double>(now - s.cold_at) / 1000, std::max(1.0, s.rate / 10));
  s.cold_at = now;
  return s.tokens >= 1;
}

const Replica* LoadBalancer::pick(const LoadBalancerContext& w, Millis now, bool& any) {
  any = false;
  auto i = by_service_.find(w.service);
  if (i == by_service_.end())
    return nullptr;
  Seen* best = nullptr;
  std::tuple<int, uint64_t, uint64_t> top;
  for (auto* s : i->second) {
    if (w.tried && std::find(w.tried->begin(), w.tried->end(), s->r->name) != w.tried->end())
      continue;
    any = true;
    if (!free(*s, now))
      continue;
    bool full = s->running * 2 >= s->cap;
    int tier = (s->local ? 0 : 1) + (full ? 2 : 0);
    auto key = w.key ? std::make_tuple(tier, digest(s->r->name, w.key), uint64_t{0})
                     : std::make_tuple(tier, uint64_t{s->running}, s->last);
    if (!best || key < top)
      best = s, top = key;
  }
  return best ? best->r : nullptr;
}

void LoadBalancer::took(const std::string& name, Millis) {
  auto& s = seen_[name];
  ++s.running;
  s.last = ++turn_;
  if (s.rate > 0)
    s.tokens -= 1;
}
void LoadBalancer::gave(const std::string& name) {
  if (auto i = seen_.find(name); i != seen_.end() && i->second.running)
    --i->second.running;
}
void LoadBalancer::back_off(const std::string& name, Millis until) {
  if (auto i = seen_.find(name); i != seen_.end())
    i->second.backed_off = std::max(i->second.backed_off, until);
}
void LoadBalancer::told(const std::string&, const std::array<uint32_t, 3>&, Millis) {}
uint32_t LoadBalancer::load(const std::string& name) const {
  auto i = seen_.find(name);
  return i == seen_.end() ? 0 : i->second.running;
}

}  // namespace mosskeel
