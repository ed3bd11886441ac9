// How a history ends: by the clocks of a majority of its stores, and by its owner's own record.
#include <algorithm>

#include "history/constants.hpp"
#include "history/store_machine.hpp"

namespace mosskeel {

void StoreMachine::bury(StoredPartition& s, const HistoryName& n) {
  s.histories.erase(n);
  s.tombstones.add(tombstone_of(n));
}

/// Time counts from the last write, over this store's own uptime only, stretched by a margin: what clocks do can
/// only lengthen the retention. A history keeps the longest promise that any of its records was given.
bool StoreMachine::aged(const History& l) const {
  if (l.records.empty())
    return false;
  if (l.records.back().kind == RecordKind::ended)
    return true;
  int64_t keep = 0;
  for (auto& r : l.records)
    keep = std::max(keep, r.retention_ms);
  return uptime() - l.touched > keep + keep / kRetentionStretchDivisor + kRetentionMargin;
}

void StoreMachine::expire(Millis now) {
  next_expire_ = now + kExpiryScanInterval;
  auto& m = *metadata_log_.view();
  if (m.partitions.empty())
    return;
  expiring_ = PartitionId((expiring_.value() + 1) % static_cast<uint32_t>(m.partitions.size()));
  auto i = slots_.find(expiring_);
  auto* o = m.find(m.partitions[expiring_.value()].owner);
  if (i == slots_.end() || !o)
    return;
  size_t n = 0;
  for (auto& [name, l] : i->second.histories)
    if (aged(l) && n++ < kMaxExpiredPerScan)
      out_.send(o->self.address, HistoryExpired{name, expiring_, l.records.size()}, o->self.incarnation);
}

void StoreMachine::on(const Envelope& e, const WriteTombstone& b) {
  auto& s = slots_[b.partition];
  if (!placed(e, b.partition) || s.fence > b.term || s.tombstones.has(tombstone_of(b.history)))
    return;
  bury(s, b.history);
  journal(TombstoneRecord{b.partition, b.history});
}

size_t StoreMachine::history_count() const {
  size_t n = 0;
  for (auto& [s, x] : slots_)
    n += x.histories.size();
  return n;
}

size_t StoreMachine::tombstone_count() const {
  size_t n = 0;
  for (auto& [s, x] : slots_)
    n += x.tombstones.size();
  return n;
}

}  // namespace mosskeel
