// Transformations of the core: founding, membership, re-founding, and the quorum members that acknowledge changes.
#include <algorithm>

#include "metadata/constants.hpp"
#include "metadata/core_membership.hpp"
#include "metadata/transformation_steps.hpp"

namespace mosskeel::transformations {
namespace {

/// Why a daemon cannot be removed from the core; empty if it can be.
std::optional<std::string> reason_against_removal(const Metadata& metadata, DaemonId id) {
  auto* daemon = metadata.find(id);
  if (!daemon || !contains(metadata.members, id))
    return "is not a core member";
  if (daemon->state != DaemonState::down)
    return std::string("is a live member (") + name(daemon->state) + ")";
  return std::nullopt;
}

/// Makes a controller a member of the re-founded core, and a quorum member in place of lost members at its address.
void add_refounding_member(Metadata& metadata, const DaemonInfo& candidate, const std::vector<DaemonId>& lost) {
  auto* known = metadata.find(candidate.incarnation);
  DaemonId id = known ? known->id : DaemonId{metadata.next_id++};
  metadata.directory[id] = {id, candidate, DaemonState::up, metadata.epoch};
  if (!contains(metadata.members, id))
    metadata.members.push_back(id);
  for (auto lost_id : lost) {
    auto* lost_member = metadata.find(lost_id);
    if (lost_member && lost_member->self.address == candidate.address)
      metadata.replace_in_quorum(lost_id, id);
  }
}

}  // namespace

Result<Metadata> transform(Metadata metadata, const FoundCluster& change) {
  if (metadata.cluster)
    return reject("found", "this cluster is founded already");
  metadata.cluster = change.cluster;
  metadata.core_size = change.core_size;
  metadata.max_core_size = std::max(change.max_core_size, change.core_size);
  metadata.configured_replication_factor =
      change.replication_factor ? change.replication_factor : kDefaultHistoryReplicas;
  metadata.generation = 1;
  metadata.next_id = 1;
  metadata.partitions.resize(kPartitionCount);
  for (auto& candidate : change.members) {
    DaemonId id{metadata.next_id++};
    metadata.directory[id] = {id, candidate, DaemonState::up, metadata.epoch};
    metadata.members.push_back(id);
  }
  metadata.quorum_members = metadata.members;
  return metadata;
}

Result<Metadata> transform(Metadata metadata, const RefoundCluster& change) {
  if (change.generation != metadata.generation)
    return reject("generation",
                  "is " + std::to_string(metadata.generation) + ", not " + std::to_string(change.generation));
  std::erase_if(metadata.members, [&](DaemonId id) { return contains(change.lost, id); });
  for (auto id : change.lost)
    if (auto entry = metadata.directory.find(id); entry != metadata.directory.end())
      set_state(metadata, entry->second, DaemonState::left);
  for (auto& candidate : change.fresh) {
    if (metadata.members.size() >= metadata.core_size)
      break;
    add_refounding_member(metadata, candidate, change.lost);
  }
  if (metadata.members.empty())
    return reject("refound", "no member would be left");
  metadata.former_clusters.push_back(metadata.cluster);
  metadata.cluster = next_cluster_id(metadata.cluster, metadata.generation);
  ++metadata.generation;
  return metadata;
}

Result<Metadata> transform(Metadata metadata, const AddCoreMember& change) {
  auto* daemon = metadata.find(change.node);
  if (!daemon || daemon->self.role != Role::controller)
    return reject(to_text(change.node), "is not a registered controller");
  if (daemon->state != DaemonState::up)
    return reject(to_text(change.node), std::string("is ") + name(daemon->state));
  if (metadata.is_core_member(daemon->self.incarnation))
    return reject(to_text(change.node), "is a core member already");
  auto down = count_down_members(metadata);
  auto max_size = std::max<size_t>(metadata.core_size, metadata.max_core_size);
  if (metadata.members.size() - down >= max_size || metadata.members.size() > max_size)
    return reject(to_text(change.node), "the core has its full number of members");
  metadata.members.push_back(change.node);
  metadata.core_size = std::max(metadata.core_size, static_cast<uint32_t>(metadata.members.size() - down));
  return metadata;
}

Result<Metadata> transform(Metadata metadata, const ReplaceCoreMember& change) {
  auto* added = metadata.find(change.added);
  if (!added || added->self.role != Role::controller || metadata.is_core_member(added->self.incarnation))
    return reject(to_text(change.added), "is not a spare controller");
  if (added->state != DaemonState::up)
    return reject(to_text(change.added), std::string("is ") + name(added->state));
  if (auto reason = reason_against_removal(metadata, change.removed))
    return reject(to_text(change.removed), *reason);
  *std::find(metadata.members.begin(), metadata.members.end(), change.removed) = change.added;
  set_state(metadata, metadata.directory[change.removed], DaemonState::left);
  return metadata;
}

Result<Metadata> transform(Metadata metadata, const RemoveCoreMember& change) {
  if (auto reason = reason_against_removal(metadata, change.node))
    return reject(to_text(change.node), *reason);
  if (metadata.members.size() <= kMinCoreSize)
    return reject(to_text(change.node), "the core would be too small without it");
  metadata.members.erase(std::find(metadata.members.begin(), metadata.members.end(), change.node));
  set_state(metadata, metadata.directory[change.node], DaemonState::left);
  return metadata;
}

Result<Metadata> transform(Metadata metadata, const BeginQuorumChange&) {
  if (!metadata.incoming_quorum_members.empty()) {
    auto epoch = std::to_string(metadata.quorum_change_epoch.value());
    return reject("quorum change", "the one of epoch " + epoch + " is not over");
  }
  auto eligible = eligible_quorum_members(metadata);
  if (eligible == metadata.quorum_members)
    return reject("quorum change", "nobody came or left");
  metadata.incoming_quorum_members = std::move(eligible);
  metadata.quorum_change_epoch = metadata.epoch;
  return metadata;
}

Result<Metadata> transform(Metadata metadata, const FinishQuorumChange& change) {
  if (metadata.incoming_quorum_members.empty() || metadata.quorum_change_epoch != change.since)
    return reject("quorum change", "none of epoch " + std::to_string(change.since.value()) + " is under way");
  metadata.quorum_members = std::exchange(metadata.incoming_quorum_members, {});
  return metadata;
}

}  // namespace mosskeel::transformations
