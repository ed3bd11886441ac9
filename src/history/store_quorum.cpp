#include "history/store_quorum.hpp"

#include <algorithm>

namespace mosskeel {
namespace {

size_t count_stores(const std::vector<DaemonId>& stores, const StorePredicate& predicate) {
  return static_cast<size_t>(std::count_if(stores.begin(), stores.end(), predicate));
}

}  // namespace

std::vector<const Daemon*> write_targets(const Metadata& metadata, const Partition& partition) {
  std::set<DaemonId> ids(partition.stores.begin(), partition.stores.end());
  ids.insert(partition.pending_stores.begin(), partition.pending_stores.end());
  std::vector<const Daemon*> targets;
  for (auto id : ids) {
    auto* store = metadata.find(id);
    if (store && store->state != DaemonState::left && !metadata.evacuated.count(store->self.zone))
      targets.push_back(store);
  }
  return targets;
}

bool is_read_quorum(const Metadata& metadata, const Partition& partition, const StorePredicate& predicate) {
  auto size = partition.stores.size();
  return size >= metadata.write_quorum(size) && count_stores(partition.stores, predicate) >= metadata.read_quorum(size);
}

bool is_write_quorum(const Metadata& metadata, const Partition& partition, const StorePredicate& predicate) {
  auto is_quorum_of = [&](const std::vector<DaemonId>& stores) {
    return count_stores(stores, predicate) >= metadata.write_quorum(stores.size());
  };
  bool is_pending_quorum = partition.pending_stores.empty() || is_quorum_of(partition.pending_stores);
  return is_pending_quorum && is_quorum_of(partition.stores);
}

}  // namespace mosskeel
