#include "programs/replica_selector.hpp"

#include <algorithm>

#include "metadata/constants.hpp"
#include "programs/constants.hpp"
#include "programs/program_request.hpp"

namespace mosskeel {
namespace {

/// This gateway's rank among all gateways that may use a replica, in an order specific to the replica.
struct GatewayRank {
  uint32_t rank = 0;
  uint32_t gateways = 0;
};

/// A gateway's sort key in a replica's order: a hash of both, then the gateway's id.
struct GatewayPosition {
  uint64_t hash = 0;
  DaemonId id{};
  auto operator<=>(const GatewayPosition&) const = default;
};

bool may_use_replicas(const Daemon& daemon, const Metadata& metadata) {
  bool in_service = daemon.state == DaemonState::up || daemon.state == DaemonState::draining;
  return daemon.self.role == Role::gateway && in_service && !metadata.evacuated.count(daemon.self.zone);
}

/// Returns nullopt if this gateway may not use replicas.
std::optional<GatewayRank> rank_among_gateways(const Replica& replica, const Metadata& metadata, const Daemon& self) {
  std::vector<GatewayPosition> gateways;
  for (const auto& [id, daemon] : metadata.directory) {
    if (may_use_replicas(daemon, metadata))
      gateways.push_back({digest(replica.name, id.value() + 1), id});
  }
  std::sort(gateways.begin(), gateways.end());
  auto own = std::find_if(gateways.begin(), gateways.end(), [&](const auto& gateway) { return gateway.id == self.id; });
  if (own == gateways.end())
    return std::nullopt;
  return GatewayRank{static_cast<uint32_t>(own - gateways.begin()), static_cast<uint32_t>(gateways.size())};
}

bool serves(const Replica& replica, const Route& route) {
  if (replica.kind != route.kind)
    return false;
  if (route.replicas.empty())
    return true;
  return std::find(route.replicas.begin(), route.replicas.end(), replica.name) != route.replicas.end();
}

/// Sort key of replicas by preference; the smallest is the best.
struct Preference {
  bool is_backed_off = false;
  bool is_half_loaded = false;
  bool is_in_other_zone = false;
  uint64_t affinity = 0;
  auto operator<=>(const Preference&) const = default;
};

}  // namespace

uint32_t ReplicaSelector::usable_capacity(const Replica& replica, const Metadata& metadata, const Daemon& self,
                                          TimePoint now) {
  if (replica.health == ReplicaHealth::draining || metadata.evacuated.count(replica.zone))
    return 0;
  auto own = rank_among_gateways(replica, metadata, self);
  if (!own)
    return 0;
  if (replica.health == ReplicaHealth::ready) {
    uint32_t remainder = own->rank < replica.capacity % own->gateways ? 1 : 0;
    return std::max(1u, replica.capacity / own->gateways + remainder);
  }
  if (own->rank >= kGatewaysPerColdReplica)
    return 0;
  auto& slow_start = slow_starts_[replica.name];
  if (slow_start.cold_since_epoch != replica.since)
    slow_start = {replica.since, now};
  auto ramped = (now - slow_start.started_at) * replica.capacity / kSlowStartDuration;
  return static_cast<uint32_t>(std::clamp<int64_t>(ramped, 1, replica.capacity));
}

ReplicaSelection ReplicaSelector::select(const ProgramRequest& request, const Metadata& metadata, const Daemon& self,
                                         TimePoint now) {
  ReplicaSelection choice;
  const auto* cell = metadata.configuration.cell(request.cell);
  const auto* route = cell ? find_route(*cell, request) : nullptr;
  if (!route)
    return choice;
  auto affinity_key = digest(request.prefix.empty() ? request.program : request.prefix);
  bool prefers_own_zone = request.kind != kModelRequest;
  Preference best;
  for (const auto& [name, replica] : metadata.replicas) {
    if (!serves(replica, *route))
      continue;
    auto capacity = usable_capacity(replica, metadata, self, now);
    if (capacity == 0)
      continue;
    choice.any_eligible = true;
    if (!has_free_capacity(request, name, capacity))
      continue;
    Preference preference{is_backed_off(name, now), load_of(name) * 2 >= capacity,
                          prefers_own_zone && replica.zone != self.self.zone, digest(name, affinity_key)};
    if (choice.replica && preference >= best)
      continue;
    choice.replica = &replica;
    best = preference;
  }
  return choice;
}

bool ReplicaSelector::has_free_capacity(const ProgramRequest& request, const std::string& replica,
                                        uint32_t capacity) const {
  auto found = load_.find(replica);
  auto load = found == load_.end() ? Load{} : found->second;
  if (request.bulk && load.bulk_requests >= std::min(capacity, kMaxBulkRequestsPerReplica))
    return false;
  return load.requests < capacity;
}

uint32_t ReplicaSelector::load_of(const std::string& replica) const {
  auto found = load_.find(replica);
  return found == load_.end() ? 0 : found->second.requests;
}

bool ReplicaSelector::is_backed_off(const std::string& replica, TimePoint now) const {
  auto found = backed_off_until_.find(replica);
  return found != backed_off_until_.end() && now < found->second;
}

void ReplicaSelector::assign(OpenRequest& open, const Replica& replica) {
  open.replica = replica.name;
  auto& load = load_[replica.name];
  ++load.requests;
  if (open.request.bulk)
    ++load.bulk_requests;
}

void ReplicaSelector::release(OpenRequest& open) {
  if (open.replica.empty())
    return;
  auto& load = load_[open.replica];
  if (load.requests)
    --load.requests;
  if (open.request.bulk && load.bulk_requests)
    --load.bulk_requests;
  open.replica.clear();
}

void ReplicaSelector::back_off(const std::string& replica, TimePoint now) {
  backed_off_until_[replica] = now + kReplicaBackoff;
}

}  // namespace mosskeel
