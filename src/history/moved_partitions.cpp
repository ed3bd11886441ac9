#include "history/moved_partitions.hpp"

#include "history/constants.hpp"
#include "history/partition_lookup.hpp"

namespace mosskeel {

void MovedPartitions::tick(TimePoint now) {
  if (now < next_scan_at_)
    return;
  next_scan_at_ = now + kMovedPartitionScanInterval;
  if (auto* self = metadata_log_.view()->find(out_.id().self.incarnation))
    scan(self->id, now);
}

void MovedPartitions::scan(DaemonId self, TimePoint now) {
  for (auto& [id, stored] : table_.partitions()) {
    if (stored.histories.empty() || !has_moved(id, self)) {
      moved_since_.erase(id);
      continue;
    }
    auto moved_since = moved_since_.emplace(id, now).first->second;
    if (now - moved_since < kMovedPartitionKeepTime)
      continue;
    table_.drop_histories(id);
    moved_since_.erase(id);
  }
}

bool MovedPartitions::has_moved(PartitionId id, DaemonId self) const {
  auto* partition = find_partition(*metadata_log_.view(), id);
  if (!partition)
    return false;
  bool is_settled = partition->pending_stores.empty() && !partition->stores.empty();
  return is_settled && !contains(partition->stores, self);
}

}  // namespace mosskeel
