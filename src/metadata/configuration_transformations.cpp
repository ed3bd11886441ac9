// Transformations requested by operators and the platform: configuration, replicas, zones.
#include <algorithm>

#include "metadata/constants.hpp"
#include "metadata/placement.hpp"
#include "metadata/transformation_steps.hpp"

namespace mosskeel::transformations {
namespace {

Errors validate_replica(const Replica& replica) {
  Errors errors;
  if (replica.name.empty())
    errors.push_back({"name", "is empty"});
  if (replica.kind != "model" && replica.kind != "app")
    errors.push_back({"kind", "is neither model nor app"});
  if (!replica.url.starts_with("http://"))
    errors.push_back({"url", "does not begin with http://"});
  // "places" is the field's name in the admin API's JSON.
  if (replica.capacity > kMaxReplicaCapacity)
    errors.push_back({"places", "must be from 1 to " + std::to_string(kMaxReplicaCapacity)});
  return errors;
}

bool is_known_zone(const Metadata& metadata, const std::string& zone) {
  for (auto& [id, daemon] : metadata.directory)
    if (daemon.state != DaemonState::left && daemon.self.zone == zone)
      return true;
  for (auto& [replica_name, replica] : metadata.replicas)
    if (replica.zone == zone)
      return true;
  return false;
}

}  // namespace

Result<Metadata> transform(Metadata metadata, const ApplyConfiguration& change) {
  if (change.base != metadata.revision)
    return reject("revision", "built on " + std::to_string(change.base.value()) + ", in force is " +
                                  std::to_string(metadata.revision.value()));
  if (auto errors = validate(change.configuration); !errors.empty())
    return errors;
  bool is_numbered = change.revision.value() != 0;
  if (is_numbered && change.revision <= metadata.revision)
    return reject("revision", "is not above " + std::to_string(metadata.revision.value()));
  metadata.configuration = change.configuration;
  metadata.revision = is_numbered ? change.revision : Revision{metadata.revision.value() + 1};
  return metadata;
}

Result<Metadata> transform(Metadata metadata, const SetReplica& change) {
  if (auto errors = validate_replica(change.replica); !errors.empty())
    return errors;
  auto replica = change.replica;
  replica.since = metadata.epoch;
  if (replica.capacity == 0)
    replica.capacity = kDefaultReplicaCapacity;
  if (auto known = metadata.replicas.find(replica.name); known != metadata.replicas.end()) {
    auto unchanged = known->second;
    unchanged.since = replica.since;
    if (unchanged == replica)
      return reject(replica.name, "is so already");
  }
  metadata.replicas[replica.name] = replica;
  return metadata;
}

Result<Metadata> transform(Metadata metadata, const RemoveReplica& change) {
  if (!metadata.replicas.erase(change.name))
    return reject(change.name, "is no replica");
  return metadata;
}

Result<Metadata> transform(Metadata metadata, const UpdateReplicas& change) {
  auto before = metadata.replicas;
  for (auto& replica_name : change.removed)
    metadata.replicas.erase(replica_name);
  for (auto replica : change.updated) {
    if (replica.name.empty() || replica.service.empty() || !replica.url.starts_with("http://"))
      return reject(replica.name, "lacks a name, a service or an address");
    auto known = metadata.replicas.find(replica.name);
    // The remaining warm-up time counts from the latest report of it.
    bool keeps_since = known != metadata.replicas.end() && known->second.health == replica.health &&
                       replica.health != ReplicaHealth::warming_up;
    replica.since = keeps_since ? known->second.since : metadata.epoch;
    metadata.replicas[replica.name] = replica;
  }
  if (metadata.replicas == before)
    return reject("replicas", "are already in this state");
  return metadata;
}

Result<Metadata> transform(Metadata metadata, const EvacuateZone& change) {
  auto zone = "zone " + change.zone;
  if (metadata.evacuated.count(change.zone))
    return reject(zone, "is evacuated already");
  if (!is_known_zone(metadata, change.zone))
    return reject(zone, "is unknown");
  metadata.evacuated.insert(change.zone);
  if (placement::partitions_per_gateway(metadata).empty())
    return reject(zone, "holds the last gateways");
  for (auto& [id, daemon] : metadata.directory)
    if (daemon.self.role == Role::gateway && daemon.self.zone == change.zone)
      redistribute_ownership(metadata, id);
  return metadata;
}

Result<Metadata> transform(Metadata metadata, const RestoreZone& change) {
  if (!metadata.evacuated.erase(change.zone))
    return reject("zone " + change.zone, "is not evacuated");
  for (auto& [replica_name, replica] : metadata.replicas) {
    if (replica.zone != change.zone || replica.health != ReplicaHealth::ready)
      continue;
    replica.health = ReplicaHealth::warming_up;
    replica.since = metadata.epoch;
  }
  return metadata;
}

}  // namespace mosskeel::transformations
