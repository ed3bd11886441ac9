// How a store frees what it keeps of slots whose places went to other stores.
#include <algorithm>

#include "history/history_limits.hpp"
#include "history/store_machine.hpp"

namespace mosskeel {

/// No place here, and none on the way to anybody: the slot's stores are settled, and nobody reads it here any more.
bool StoreMachine::moved(SlotId s, DaemonId me) const {
  auto& slots = led_.view()->slots;
  if (s.v >= slots.size()) return false;
  auto& x = slots[s.v];
  return x.pending.empty() && !x.stores.empty() && !std::count(x.stores.begin(), x.stores.end(), me);
}

/// A store that gets a place later reads the slot anew from those that hold it; only what fences and what has ended
/// stays.
void StoreMachine::drop_moved(Millis now) {
  next_drop_ = now + limits::moved_pace;
  auto* me = led_.view()->find(out_.id().self.inc);
  if (!me) return;
  for (auto& [id, s] : slots_) {
    if (s.lines.empty() || !moved(id, me->id)) {
      moved_since_.erase(id);
      continue;
    }
    auto since = moved_since_.emplace(id, now).first->second;
    if (now - since < limits::moved_keep) continue;
    s.lines.clear();
    moved_since_.erase(id);
    journal(DropRecord{id});
  }
}

}  // namespace mosskeel
