// Chooses the stores that keep a partition's histories: as many as the replication factor says, spread over zones.
#include <algorithm>

#include "metadata/placement.hpp"

namespace mosskeel::placement {
namespace {

using StoreSet = std::vector<DaemonId>;

std::string zone_of(const Metadata& metadata, DaemonId id) {
  auto* daemon = metadata.find(id);
  return daemon ? daemon->self.zone : "";
}

/// How many partitions each store keeps; includes all stores that are up, even those without partitions.
LoadByDaemon partitions_per_store(const Metadata& metadata) {
  LoadByDaemon load;
  for (auto& [id, daemon] : metadata.directory)
    if (daemon.self.role == Role::store && daemon.state == DaemonState::up)
      load[id] = 0;
  for (auto& partition : metadata.partitions)
    for (auto id : partition.stores)
      ++load[id];
  return load;
}

/// How many stores of a set, not counting `except`, are in this zone.
int count_in_zone(const Metadata& metadata, const StoreSet& set, const std::string& zone, DaemonId except) {
  return static_cast<int>(std::count_if(set.begin(), set.end(),
                                        [&](DaemonId id) { return id != except && zone_of(metadata, id) == zone; }));
}

/// The store that should replace `leaving` in a set: the least loaded store in the zone with the fewest stores of the
/// set.
std::optional<DaemonId> find_substitute(const Metadata& metadata, const StoreSet& set, DaemonId leaving,
                                        const LoadByDaemon& load) {
  auto cost = [&](DaemonId id) {
    return std::make_pair(count_in_zone(metadata, set, zone_of(metadata, id), leaving), load.at(id));
  };
  std::optional<DaemonId> best;
  for (auto& [id, count] : load) {
    if (id == leaving || !is_alive(metadata, id) || contains(set, id))
      continue;
    if (!best || cost(id) < cost(*best))
      best = id;
  }
  return best;
}

/// The store of a set that a joining one should replace: the one whose removal gives the best spread over zones, then
/// the most loaded one. Null if the change would put more stores into one zone than before.
DaemonId* find_most_replaceable(const Metadata& metadata, StoreSet& set, const Daemon& joining,
                                const LoadByDaemon& load) {
  auto others_in_zone = [&](DaemonId id) {
    return count_in_zone(metadata, set, zone_of(metadata, id), id);
  };
  auto others_in_joining_zone = [&](DaemonId id) {
    return count_in_zone(metadata, set, joining.self.zone, id);
  };
  auto gain = [&](DaemonId id) {
    return std::make_pair(others_in_zone(id) - others_in_joining_zone(id), load.at(id));
  };
  auto best =
      std::max_element(set.begin(), set.end(), [&](DaemonId left, DaemonId right) { return gain(left) < gain(right); });
  return others_in_joining_zone(*best) > others_in_zone(*best) ? nullptr : &*best;
}

/// Replaces the lost stores of a set as far as there are substitutes, and fills the set up to the replication factor.
/// Returns whether `required` was replaced.
bool replace_lost_stores(const Metadata& metadata, StoreSet& set, DaemonId required, LoadByDaemon& load) {
  bool replaced_required = false;
  for (auto& id : set) {
    if (!is_lost(metadata, id))
      continue;
    auto substitute = find_substitute(metadata, set, id, load);
    if (!substitute)
      continue;
    replaced_required = replaced_required || id == required;
    ++load[*substitute];
    id = *substitute;
  }
  while (set.size() < metadata.replication_factor()) {
    auto substitute = find_substitute(metadata, set, DaemonId{}, load);
    if (!substitute)
      break;
    ++load[*substitute];
    set.push_back(*substitute);
  }
  return replaced_required;
}

/// How many partitions a joining store should keep.
int share_of_joining_store(const Metadata& metadata, const Daemon& joining, const LoadByDaemon& load) {
  auto available = static_cast<size_t>(std::count_if(load.begin(), load.end(), [&](auto& entry) {
    return entry.first == joining.id || is_alive(metadata, entry.first);
  }));
  auto replicas = std::min<size_t>(metadata.replication_factor(), available);
  return static_cast<int>(metadata.partitions.size() * replicas / std::max<size_t>(available, 1));
}

/// Adds a joining store to a set: in place of a lost store, as a missing one or, while it is below its share, in place
/// of another store. Returns whether it was added.
bool add_joining_store(const Metadata& metadata, StoreSet& set, const Daemon& joining, int share, LoadByDaemon& load) {
  auto lost_store = std::find_if(set.begin(), set.end(), [&](DaemonId id) { return is_lost(metadata, id); });
  if (lost_store != set.end()) {
    *lost_store = joining.id;
    return true;
  }
  if (set.size() < metadata.replication_factor()) {
    set.push_back(joining.id);
    return true;
  }
  if (load[joining.id] >= share)
    return false;
  auto* leaving = find_most_replaceable(metadata, set, joining, load);
  if (!leaving)
    return false;
  --load[*leaving];
  *leaving = joining.id;
  return true;
}

Errors too_few_stores(const Metadata& metadata, uint32_t partition, size_t remaining) {
  auto message = "retiring this store would leave " + std::to_string(remaining) + " of " +
                 std::to_string(metadata.replication_factor()) + " copies and no other store can take its place";
  return {{"slot " + std::to_string(partition), message, ErrorCode::rejected}};
}

}  // namespace

std::vector<PartitionMove> plan_store_join(const Metadata& metadata, const Daemon& joining) {
  std::vector<PartitionMove> moves;
  auto load = partitions_per_store(metadata);
  load.try_emplace(joining.id, 0);
  auto share = share_of_joining_store(metadata, joining, load);
  for (uint32_t i = 0; i < metadata.partitions.size(); ++i) {
    auto& partition = metadata.partitions[i];
    if (metadata.locks.count(PartitionId{i}) || contains(partition.stores, joining.id))
      continue;
    auto set = partition.stores;
    if (!add_joining_store(metadata, set, joining, share, load))
      continue;
    ++load[joining.id];
    moves.push_back({PartitionId{i}, partition.owner, set});
  }
  return moves;
}

Result<std::vector<PartitionMove>> plan_store_drain(const Metadata& metadata, const Daemon& leaving) {
  std::vector<PartitionMove> moves;
  auto load = partitions_per_store(metadata);
  for (uint32_t i = 0; i < metadata.partitions.size(); ++i) {
    auto& partition = metadata.partitions[i];
    if (!contains(partition.stores, leaving.id))
      continue;
    auto set = partition.stores;
    auto substitute = find_substitute(metadata, set, leaving.id, load);
    if (!substitute)
      return too_few_stores(metadata, i, set.size() - 1);
    std::replace(set.begin(), set.end(), leaving.id, *substitute);
    ++load[*substitute];
    moves.push_back({PartitionId{i}, partition.owner, set});
  }
  return moves;
}

std::vector<PartitionMove> plan_repair(const Metadata& metadata, const Daemon& lost_store) {
  std::vector<PartitionMove> moves;
  auto load = partitions_per_store(metadata);
  for (uint32_t i = 0; i < metadata.partitions.size(); ++i) {
    auto& partition = metadata.partitions[i];
    if (metadata.locks.count(PartitionId{i}) || !contains(partition.stores, lost_store.id))
      continue;
    auto set = partition.stores;
    if (replace_lost_stores(metadata, set, lost_store.id, load))
      moves.push_back({PartitionId{i}, partition.owner, set});
  }
  return moves;
}

}  // namespace mosskeel::placement
