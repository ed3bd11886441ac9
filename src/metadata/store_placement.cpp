// Placement of copies: which stores keep a partition, as many as the log says, spread over zones.
#include <algorithm>

#include "metadata/liveness.hpp"
#include "metadata/transformation.hpp"

namespace mosskeel::placement {

namespace {

using Stores = std::vector<DaemonId>;

std::string zone(const Metadata& metadata, DaemonId id) {
  auto* daemon = metadata.find(id);
  return daemon ? daemon->self.zone : "";
}

bool contains(const Stores& set, DaemonId id) {
  return std::find(set.begin(), set.end(), id) != set.end();
}

/// How many copies each store keeps.
std::map<DaemonId, int> copies_kept(const Metadata& metadata) {
  std::map<DaemonId, int> kept;
  for (auto& [id, daemon] : metadata.directory)
    if (daemon.self.role == Role::store && daemon.state == DaemonState::up)
      kept[id] = 0;
  for (auto& partition : metadata.partitions)
    for (auto id : partition.stores)
      ++kept[id];
  return kept;
}

/// How many of a set, `except` left out, are in this zone.
int in_zone(const Metadata& metadata, const Stores& set, const std::string& z, DaemonId except) {
  return static_cast<int>(
      std::count_if(set.begin(), set.end(), [&](auto id) { return id != except && zone(metadata, id) == z; }));
}

/// The store that should take the place of `leaver` in a set: where zones are spread best, then the least loaded.
std::optional<DaemonId> substitute(const Metadata& metadata, const Stores& set, DaemonId leaver,
                                   const std::map<DaemonId, int>& kept) {
  std::optional<DaemonId> best;
  auto key = [&](DaemonId id) {
    return std::make_pair(in_zone(metadata, set, zone(metadata, id), leaver), kept.at(id));
  };
  for (auto& [id, copies] : kept) {
    if (id == leaver || !alive(metadata, id) || contains(set, id))
      continue;
    if (!best || key(id) < key(*best))
      best = id;
  }
  return best;
}

/// The member of a set whose place a joining store should take: the one whose leaving spreads zones best, then the
/// most loaded; nobody if it would put more copies into one zone than before.
DaemonId* most_replaceable(const Metadata& metadata, Stores& set, const Daemon& joining,
                           const std::map<DaemonId, int>& kept) {
  auto crowd = [&](DaemonId id) {
    return in_zone(metadata, set, zone(metadata, id), id);
  };
  auto crowd_after = [&](DaemonId id) {
    return in_zone(metadata, set, joining.self.zone, id);
  };
  auto key = [&](DaemonId id) {
    return std::make_pair(crowd(id) - crowd_after(id), kept.at(id));
  };
  auto best = std::max_element(set.begin(), set.end(), [&](auto a, auto b) { return key(a) < key(b); });
  return crowd_after(*best) > crowd(*best) ? nullptr : &*best;
}

/// Puts other stores into the places of all that are lost, and fills the set up; whether `must` lost its place.
bool refill(const Metadata& metadata, Stores& set, DaemonId must, std::map<DaemonId, int>& kept) {
  bool replaced = false;
  for (auto& id : set) {
    if (!lost(metadata, id))
      continue;
    auto fresh = substitute(metadata, set, id, kept);
    if (!fresh)
      continue;
    replaced = replaced || id == must;
    ++kept[*fresh];
    id = *fresh;
  }
  while (set.size() < metadata.replication_factor()) {
    auto fresh = substitute(metadata, set, DaemonId{}, kept);
    if (!fresh)
      break;
    ++kept[*fresh];
    set.push_back(*fresh);
  }
  return replaced;
}

}  // namespace

std::vector<PartitionMove> plan_store_join(const Metadata& metadata, const Daemon& joining) {
  std::vector<PartitionMove> moves;
  auto kept = copies_kept(metadata);
  kept[joining.id];
  auto live = std::count_if(kept.begin(), kept.end(),
                            [&](auto& entry) { return entry.first == joining.id || alive(metadata, entry.first); });
  auto copies = std::min<size_t>(metadata.replication_factor(), static_cast<size_t>(live));
  auto share = static_cast<int>(metadata.partitions.size() * copies / std::max<size_t>(static_cast<size_t>(live), 1));
  for (uint32_t i = 0; i < metadata.partitions.size(); ++i) {
    auto& partition = metadata.partitions[i];
    if (metadata.locks.count(PartitionId{i}) || contains(partition.stores, joining.id))
      continue;
    auto set = partition.stores;
    auto dead = std::find_if(set.begin(), set.end(), [&](auto id) { return lost(metadata, id); });
    if (dead != set.end()) {
      *dead = joining.id;
    } else if (set.size() < metadata.replication_factor()) {
      set.push_back(joining.id);
    } else if (kept[joining.id] < share) {
      auto* leaver = most_replaceable(metadata, set, joining, kept);
      if (!leaver)
        continue;
      --kept[*leaver];
      *leaver = joining.id;
    } else {
      continue;
    }
    ++kept[joining.id];
    moves.push_back({PartitionId{i}, partition.owner, set});
  }
  return moves;
}

Result<std::vector<PartitionMove>> plan_store_drain(const Metadata& metadata, const Daemon& leaving) {
  std::vector<PartitionMove> moves;
  auto kept = copies_kept(metadata);
  for (uint32_t i = 0; i < metadata.partitions.size(); ++i) {
    auto& partition = metadata.partitions[i];
    if (!contains(partition.stores, leaving.id))
      continue;
    auto set = partition.stores;
    auto fresh = substitute(metadata, set, leaving.id, kept);
    if (!fresh)
      return Errors{{"slot " + std::to_string(i), "retiring this store would leave " + std::to_string(set.size() - 1) +
                                                      " of " + std::to_string(metadata.replication_factor()) +
                                                      " copies and no other store can take its place"}};
    std::replace(set.begin(), set.end(), leaving.id, *fresh);
    ++kept[*fresh];
    moves.push_back({PartitionId{i}, partition.owner, set});
  }
  return moves;
}

std::vector<PartitionMove> plan_repair(const Metadata& metadata, const Daemon& lost_store) {
  std::vector<PartitionMove> moves;
  auto kept = copies_kept(metadata);
  for (uint32_t i = 0; i < metadata.partitions.size(); ++i) {
    auto& partition = metadata.partitions[i];
    if (metadata.locks.count(PartitionId{i}) || !contains(partition.stores, lost_store.id))
      continue;
    auto set = partition.stores;
    if (refill(metadata, set, lost_store.id, kept))
      moves.push_back({PartitionId{i}, partition.owner, set});
  }
  return moves;
}

}  // namespace mosskeel::placement
