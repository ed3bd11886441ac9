// How a line ends: by the clocks of a majority of its stores, and by its owner's own record.
#include <algorithm>

#include "history/store_machine.hpp"

namespace mosskeel {

void StoreMachine::bury(SlotStore& s, const LineName& n) {
  s.lines.erase(n);
  s.tombstones.add(tombstone_of(n));
}

/// Time counts from the last write, over this store's own uptime only, stretched by a margin: what clocks do can
/// only lengthen the retention. A line keeps the longest promise that any of its records was given.
bool StoreMachine::aged(const Line& l) const {
  if (l.records.empty()) return false;
  if (l.records.back().kind == RecordKind::ended) return true;
  int64_t keep = 0;
  for (auto& r : l.records) keep = std::max(keep, r.keep_ms);
  return uptime() - l.touched > keep + keep / limits::retention_slack + limits::retention_margin;
}

void StoreMachine::expire(Millis now) {
  next_expire_ = now + limits::expiry_pace;
  auto& m = *led_.view();
  if (m.slots.empty()) return;
  expiring_.v = (expiring_.v + 1) % static_cast<uint32_t>(m.slots.size());
  auto i = slots_.find(expiring_);
  auto* o = m.find(m.slots[expiring_.v].owner);
  if (i == slots_.end() || !o) return;
  size_t n = 0;
  for (auto& [name, l] : i->second.lines)
    if (aged(l) && n++ < limits::expiry_batch)
      out_.send(o->self.addr, LineAged{name, expiring_, l.records.size()}, o->self.inc);
}

void StoreMachine::on(const Envelope& e, const LineBury& b) {
  auto& s = slots_[b.slot];
  if (!placed(e, b.slot) || s.fence > b.term || s.tombstones.has(tombstone_of(b.line))) return;
  bury(s, b.line);
  journal(BuryRecord{b.slot, b.line});
}

size_t StoreMachine::kept_lines() const {
  size_t n = 0;
  for (auto& [s, x] : slots_) n += x.lines.size();
  return n;
}

size_t StoreMachine::kept_tombstones() const {
  size_t n = 0;
  for (auto& [s, x] : slots_) n += x.tombstones.size();
  return n;
}

}  // namespace mosskeel
