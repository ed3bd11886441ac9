#include "history/history_expiry.hpp"

#include <algorithm>

#include "history/constants.hpp"
#include "history/partition_lookup.hpp"

namespace mosskeel {

void HistoryExpiry::tick(TimePoint now) {
  if (now < next_scan_at_)
    return;
  next_scan_at_ = now + kExpiryScanInterval;
  scan_next_partition();
}

void HistoryExpiry::scan_next_partition() {
  auto& metadata = *metadata_log_.view();
  if (metadata.partitions.empty())
    return;
  auto partition_count = static_cast<uint32_t>(metadata.partitions.size());
  last_scanned_ = PartitionId{(last_scanned_.value() + 1) % partition_count};
  auto* stored = table_.find(last_scanned_);
  auto* owner = find_owner(metadata, last_scanned_);
  if (!stored || !owner)
    return;
  size_t reported = 0;
  for (auto& [name, history] : stored->histories) {
    if (reported == kMaxExpiredPerScan)
      return;
    if (!has_expired(history))
      continue;
    ++reported;
    out_.send(owner->self.address, HistoryExpired{name, last_scanned_, history.records.size()},
              owner->self.incarnation);
  }
}

/// The period is measured from the last write in this store's uptime and extended by a margin, so that clock errors can
/// only lengthen it. The longest retention of any record applies to the whole history.
bool HistoryExpiry::has_expired(const History& history) const {
  if (history.records.empty())
    return false;
  if (history.records.back().kind == RecordKind::ended)
    return true;
  Duration retention{};
  for (auto& record : history.records)
    retention = std::max(retention, Duration(record.retention_ms));
  auto extended_retention = retention + retention / kRetentionDriftDivisor + kRetentionMargin;
  return clock_.uptime() - history.written_at > extended_retention;
}

}  // namespace mosskeel
