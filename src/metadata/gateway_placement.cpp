// Chooses the gateway that owns a partition. See store_placement.cpp for the stores that keep its histories.
#include <algorithm>

#include "metadata/placement.hpp"

namespace mosskeel::placement {
namespace {

/// Plans which partitions move to a joining gateway, until it owns its share.
class GatewayJoinPlanner {
 public:
  GatewayJoinPlanner(const Metadata& metadata, const Daemon& joining)
      : metadata_(metadata), joining_(joining.id), load_(partitions_per_gateway(metadata)) {
    auto& partitions = metadata.partitions;
    load_[joining_] = static_cast<int>(std::count_if(partitions.begin(), partitions.end(),
                                                     [&](const Partition& each) { return each.owner == joining_; }));
  }

  std::vector<PartitionMove> plan() {
    take_unowned();
    take_share();
    return std::move(moves_);
  }

 private:
  /// Takes all unlocked partitions whose owner is gone, even beyond the share.
  void take_unowned() {
    for (uint32_t i = 0; i < metadata_.partitions.size(); ++i)
      if (!is_alive(metadata_, owner_of(i)) && !metadata_.locks.count(PartitionId{i}))
        take(i);
  }

  /// Takes one partition at a time from the most loaded gateway while that balances the load.
  void take_share() {
    size_t share = metadata_.partitions.size() / std::max<size_t>(load_.size(), 1);
    while (static_cast<size_t>(load_[joining_]) < share) {
      auto best = partition_of_most_loaded();
      if (!best || load_[owner_of(*best)] <= load_[joining_] + 1)
        return;
      take(*best);
    }
  }

  std::optional<uint32_t> partition_of_most_loaded() {
    std::optional<uint32_t> best;
    for (uint32_t i = 0; i < metadata_.partitions.size(); ++i) {
      PartitionId id{i};
      if (taken_.count(id) || metadata_.locks.count(id) || owner_of(i) == joining_)
        continue;
      if (!best || load_[owner_of(i)] > load_[owner_of(*best)])
        best = i;
    }
    return best;
  }

  void take(uint32_t index) {
    moves_.push_back({PartitionId{index}, joining_, metadata_.partitions[index].stores});
    taken_.insert(PartitionId{index});
    if (auto previous = load_.find(owner_of(index)); previous != load_.end())
      --previous->second;
    ++load_[joining_];
  }

  DaemonId owner_of(uint32_t index) const { return metadata_.partitions[index].owner; }

  const Metadata& metadata_;
  const DaemonId joining_;
  LoadByDaemon load_;
  std::set<PartitionId> taken_;
  std::vector<PartitionMove> moves_;
};

Result<std::vector<PartitionMove>> plan_gateway_drain(const Metadata& metadata, const Daemon& leaving) {
  std::vector<PartitionMove> moves;
  auto load = partitions_per_gateway(metadata);
  for (uint32_t i = 0; i < metadata.partitions.size(); ++i) {
    auto& partition = metadata.partitions[i];
    if (partition.owner != leaving.id)
      continue;
    auto new_owner = least_loaded_gateway(load, leaving.id);
    if (new_owner.value() == 0)
      return Errors{{"daemon " + std::to_string(leaving.id.value()), "no other gateway could take its partitions",
                     ErrorCode::rejected}};
    ++load[new_owner];
    moves.push_back({PartitionId{i}, new_owner, partition.stores});
  }
  return moves;
}

}  // namespace

bool is_alive(const Metadata& metadata, DaemonId id) {
  auto* daemon = metadata.find(id);
  return daemon && (daemon->state == DaemonState::up || daemon->state == DaemonState::registered);
}

bool is_lost(const Metadata& metadata, DaemonId id) {
  auto* daemon = metadata.find(id);
  return !daemon || daemon->state == DaemonState::down || daemon->state == DaemonState::left;
}

LoadByDaemon partitions_per_gateway(const Metadata& metadata) {
  LoadByDaemon load;
  for (auto& [id, daemon] : metadata.directory) {
    bool may_own = daemon.self.role == Role::gateway && daemon.state == DaemonState::up;
    if (may_own && !metadata.evacuated.count(daemon.self.zone))
      load[id] = 0;
  }
  for (auto& partition : metadata.partitions)
    if (auto owner = load.find(partition.owner); owner != load.end())
      ++owner->second;
  return load;
}

DaemonId least_loaded_gateway(const LoadByDaemon& load, DaemonId except) {
  DaemonId best{0};
  for (auto& [id, count] : load)
    if (id != except && (best.value() == 0 || count < load.at(best)))
      best = id;
  return best;
}

std::vector<PartitionMove> plan_join(const Metadata& metadata, const Daemon& joining) {
  if (joining.self.role == Role::gateway)
    return GatewayJoinPlanner(metadata, joining).plan();
  return plan_store_join(metadata, joining);
}

Result<std::vector<PartitionMove>> plan_drain(const Metadata& metadata, const Daemon& leaving) {
  if (leaving.self.role == Role::gateway)
    return plan_gateway_drain(metadata, leaving);
  return plan_store_drain(metadata, leaving);
}

}  // namespace mosskeel::placement
