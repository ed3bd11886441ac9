#include "routing/load_balancer.hpp"

#include <algorithm>
#include <cmath>

#include "routing/constants.hpp"

namespace mosskeel {
namespace {

/// Sort key of replicas by preference; the smallest is the best.
struct ReplicaRank {
  bool is_half_loaded = false;
  bool is_in_other_zone = false;
  /// The rendezvous hash if the request has an affinity, else the number of running requests.
  uint64_t load_or_affinity = 0;
  /// Breaks ties in favour of the least recently used replica.
  uint64_t last_attempt = 0;
  auto operator<=>(const ReplicaRank&) const = default;
};

/// Whether the daemon is a gateway that processes requests.
bool is_serving_gateway(const Daemon& daemon) {
  return daemon.self.role == Role::gateway && daemon.state != DaemonState::down && daemon.state != DaemonState::left;
}

/// The only gateway that sends to a replica in slow start: the first one by rendezvous hashing.
DaemonId slow_start_gateway(const std::string& replica, const std::vector<DaemonId>& gateways) {
  auto weight = [&](DaemonId id) {
    return digest(replica, id.value() + 1);
  };
  auto first = std::min_element(gateways.begin(), gateways.end(),
                                [&](DaemonId left, DaemonId right) { return weight(left) < weight(right); });
  return first == gateways.end() ? DaemonId{} : *first;
}

}  // namespace

LoadBalancer::Gateways LoadBalancer::gateways() const {
  Gateways gateways;
  for (auto& [id, daemon] : view_->directory) {
    if (id == self_id_)
      gateways.own_zone = daemon.self.zone;
    if (!is_serving_gateway(daemon))
      continue;
    gateways.ids.push_back(id);
    ++gateways.count_by_zone[daemon.self.zone];
  }
  return gateways;
}

void LoadBalancer::update(const RoutingSnapshot& snapshot, TimePoint now) {
  if (view_ == snapshot.view && self_id_ == snapshot.self_id)
    return;
  view_ = snapshot.view;
  self_id_ = snapshot.self_id;
  auto serving = gateways();
  replicas_by_service_.clear();
  for (auto& [name, state] : replicas_)
    state.eligible = false;
  for (auto& [name, replica] : view_->replicas) {
    if (replica.service.empty() || replica.health == ReplicaHealth::draining || view_->evacuated.count(replica.zone))
      continue;
    auto& state = replicas_[name];
    update_replica(state, replica, serving, now);
    replicas_by_service_[replica.service].push_back(&state);
  }
  std::erase_if(replicas_, [](auto& entry) { return !entry.second.eligible && entry.second.running == 0; });
}

void LoadBalancer::update_replica(ReplicaState& state, const Replica& replica, const Gateways& gateways,
                                  TimePoint now) {
  bool warming_up = replica.health == ReplicaHealth::warming_up;
  state.replica = &replica;
  state.eligible = true;
  state.same_zone = replica.zone == gateways.own_zone;

  auto sharing = gateways.count_by_zone.find(replica.zone);
  auto gateway_count = sharing == gateways.count_by_zone.end() ? 1u : std::max(1u, sharing->second);
  auto share = static_cast<double>(replica.capacity) / gateway_count;
  state.capacity = static_cast<uint32_t>(std::max(1.0, std::ceil(share * kCapacityShareFactor)));

  auto is_slow_start_gateway = !gateways.ids.empty() && slow_start_gateway(replica.name, gateways.ids) == self_id_;
  state.assigned_here = !warming_up || is_slow_start_gateway;
  auto* service = view_->configuration.service(replica.service);
  state.slow_start.set_rate(warming_up && service ? service->cold_per_s * kSlowStartRateShare : 0);
  if (warming_up && state.health_since != replica.since)
    state.slow_start.reset(now);
  state.health_since = replica.since;
}

bool LoadBalancer::has_capacity(ReplicaState& state, TimePoint now) {
  if (!state.assigned_here || now < state.backed_off_until || state.running >= state.capacity)
    return false;
  if (!state.slow_start.is_limited())
    return state.replica->health != ReplicaHealth::warming_up;
  state.slow_start.refill(now);
  return state.slow_start.has_token();
}

ReplicaChoice LoadBalancer::choose(const LoadBalancerContext& context, TimePoint now) {
  ReplicaChoice choice;
  auto candidates = replicas_by_service_.find(context.service);
  if (candidates == replicas_by_service_.end())
    return choice;
  auto was_tried = [&](const std::string& name) {
    auto* tried = context.tried_replicas;
    return tried && std::find(tried->begin(), tried->end(), name) != tried->end();
  };
  ReplicaRank best_rank;
  for (auto* state : candidates->second) {
    if (was_tried(state->replica->name))
      continue;
    choice.has_candidates = true;
    if (!has_capacity(*state, now))
      continue;
    // Replicas at half their capacity or more rank after all others; within each group, this gateway's zone ranks
    // first.
    bool half_loaded = state->running * 2 >= state->capacity;
    ReplicaRank rank{half_loaded, !state->same_zone};
    if (context.affinity_hash) {
      rank.load_or_affinity = digest(state->replica->name, context.affinity_hash);
    } else {
      rank.load_or_affinity = state->running;
      rank.last_attempt = state->last_attempt;
    }
    if (!choice.replica || rank < best_rank) {
      choice.replica = state->replica;
      best_rank = rank;
    }
  }
  return choice;
}

void LoadBalancer::on_attempt_started(const std::string& replica) {
  auto& state = replicas_[replica];
  ++state.running;
  state.last_attempt = ++attempts_;
  if (state.slow_start.is_limited())
    state.slow_start.take();
}

void LoadBalancer::on_attempt_finished(const std::string& replica) {
  if (auto found = replicas_.find(replica); found != replicas_.end() && found->second.running > 0)
    --found->second.running;
}

void LoadBalancer::back_off(const std::string& replica, TimePoint until) {
  if (auto found = replicas_.find(replica); found != replicas_.end())
    found->second.backed_off_until = std::max(found->second.backed_off_until, until);
}

bool LoadBalancer::are_most_ejected(const ReplicaState& state, TimePoint now) const {
  if (!state.eligible)
    return false;
  auto& replicas = replicas_by_service_.at(state.replica->service);
  auto ejected = std::count_if(replicas.begin(), replicas.end(),
                               [now](const ReplicaState* other) { return now < other->ejected_until; });
  return 2 * static_cast<size_t>(ejected) > replicas.size();
}

Duration LoadBalancer::eject(const std::string& replica, TimePoint now) {
  auto found = replicas_.find(replica);
  if (found == replicas_.end() || now < found->second.ejected_until)
    return Duration::zero();
  auto& state = found->second;
  auto time = kEjectionTime;
  for (uint32_t earlier = 0; earlier < state.ejections && time < kMaxEjectionTime; ++earlier)
    time *= 2;
  ++state.ejections;
  state.ejected_until = now + kEjectionTime;
  if (!are_most_ejected(state, now))
    state.ejected_until = now + std::min(time, kMaxEjectionTime);
  back_off(replica, state.ejected_until);
  return state.ejected_until - now;
}

void LoadBalancer::on_response_completed(const std::string& replica) {
  if (auto found = replicas_.find(replica); found != replicas_.end() && found->second.ejections > 0)
    --found->second.ejections;
}

}  // namespace mosskeel
