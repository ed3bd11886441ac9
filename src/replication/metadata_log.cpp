#include "replication/metadata_log.hpp"

namespace mosskeel {

std::vector<Entry> MetadataLog::add(const Entry& entry) {
  std::vector<Entry> applied;
  if (entry.epoch <= epoch())
    return applied;
  auto bytes = codec::encode(entry).size();
  if (entry.epoch == next(epoch()) || has_room_for(bytes)) {
    if (out_of_order_entries_.try_emplace(entry.epoch, WaitingEntry{entry, bytes}).second)
      out_of_order_bytes_ += bytes;
  }
  while (!out_of_order_entries_.empty() && out_of_order_entries_.begin()->first <= next(epoch())) {
    auto first = take_waiting(out_of_order_entries_.begin()).entry;
    if (first.epoch != next(epoch()))
      continue;
    if (!apply_next(first))
      break;
    applied.push_back(std::move(first));
  }
  return applied;
}

bool MetadataLog::has_room_for(size_t entry_bytes) const {
  bool is_within_limits =
      out_of_order_entries_.size() < kLogEntriesKept && out_of_order_bytes_ + entry_bytes <= kLogBytesKept;
  // One always fits, so that the gap before it is noticed.
  return is_within_limits || out_of_order_entries_.empty();
}

MetadataLog::WaitingEntry MetadataLog::take_waiting(WaitingEntries::iterator waiting) {
  auto taken = std::move(waiting->second);
  out_of_order_entries_.erase(waiting);
  out_of_order_bytes_ -= taken.bytes;
  return taken;
}

bool MetadataLog::apply_next(const Entry& entry) {
  auto result = apply(*view_, entry);
  if (!result.ok())
    return false;
  view_ = std::make_shared<Metadata>(std::move(result).value());
  keep_recent(entry);
  return true;
}

void MetadataLog::keep_recent(const Entry& entry) {
  recent_entries_.push_back(entry);
  recent_sizes_.push_back(codec::encode(entry).size());
  recent_bytes_ += recent_sizes_.back();
  while (recent_entries_.size() > kLogEntriesKept || recent_bytes_ > kLogBytesKept) {
    recent_bytes_ -= recent_sizes_.front();
    recent_entries_.pop_front();
    recent_sizes_.pop_front();
  }
}

bool MetadataLog::install_snapshot(const Metadata& metadata) {
  if (metadata.epoch <= epoch())
    return false;
  bool is_same_lineage =
      !view_->cluster || metadata.cluster == view_->cluster || is_successor_cluster(*view_, metadata.cluster);
  if (!is_same_lineage)
    return false;
  view_ = std::make_shared<Metadata>(metadata);
  recent_entries_.clear();
  recent_sizes_.clear();
  recent_bytes_ = 0;
  while (!out_of_order_entries_.empty() && out_of_order_entries_.begin()->first <= metadata.epoch)
    take_waiting(out_of_order_entries_.begin());
  return true;
}

LogUpdates MetadataLog::updates_since(Epoch known) const {
  if (known >= epoch())
    return {};
  size_t missing = epoch().value() - known.value();
  if (missing > recent_entries_.size() || missing > kMaxEntriesPerReply)
    return {*view_, {}};
  return {std::nullopt, Entries(recent_entries_.end() - static_cast<ptrdiff_t>(missing), recent_entries_.end())};
}

LogUpdates MetadataLog::small_updates_since(Epoch known) const {
  size_t missing = known < epoch() ? epoch().value() - known.value() : 0;
  if (missing > recent_entries_.size())
    return {};
  size_t bytes = 0;
  for (size_t i = recent_sizes_.size() - missing; i < recent_sizes_.size(); ++i)
    bytes += recent_sizes_[i];
  if (bytes > kMaxHeartbeatReplyBytes)
    return {};
  return updates_since(known);
}

}  // namespace mosskeel
