// How a store frees what it keeps of partitions whose places went to other stores.
#include <algorithm>

#include "history/constants.hpp"
#include "history/store_machine.hpp"

namespace mosskeel {

/// No place here, and none on the way to anybody: the partition's stores are settled, and nobody reads it here any
/// more.
bool StoreMachine::moved(PartitionId s, DaemonId me) const {
  auto& partitions = metadata_log_.view()->partitions;
  if (s.value() >= partitions.size())
    return false;
  auto& x = partitions[s.value()];
  return x.pending_stores.empty() && !x.stores.empty() && !std::count(x.stores.begin(), x.stores.end(), me);
}

/// A store that gets a place later reads the partition anew from those that hold it; only what fences and what has
/// ended stays.
void StoreMachine::drop_moved(Millis now) {
  next_drop_ = now + kMovedPartitionScanInterval;
  auto* me = metadata_log_.view()->find(out_.id().self.incarnation);
  if (!me)
    return;
  for (auto& [id, s] : slots_) {
    if (s.histories.empty() || !moved(id, me->id)) {
      moved_since_.erase(id);
      continue;
    }
    auto since = moved_since_.emplace(id, now).first->second;
    if (now - since < kMovedPartitionKeepTime)
      continue;
    s.histories.clear();
    moved_since_.erase(id);
    journal(DropPartitionRecord{id});
  }
}

}  // namespace mosskeel
