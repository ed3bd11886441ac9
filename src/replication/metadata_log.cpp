#include "replication/metadata_log.hpp"

namespace mosskeel {

std::vector<Entry> MetadataLog::add(const Entry& entry) {
  std::vector<Entry> applied;
  if (entry.epoch <= epoch())
    return applied;
  if (waiting_.size() < kLogEntriesKept || entry.epoch == next(epoch()))
    waiting_[entry.epoch] = entry;
  while (!waiting_.empty() && waiting_.begin()->first <= next(epoch())) {
    auto first = std::move(waiting_.begin()->second);
    waiting_.erase(waiting_.begin());
    if (first.epoch != next(epoch()))
      continue;
    if (!apply_next(first))
      break;
    applied.push_back(std::move(first));
  }
  return applied;
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
  recent_.push_back(entry);
  recent_sizes_.push_back(codec::encode(entry).size());
  recent_bytes_ += recent_sizes_.back();
  while (recent_.size() > kLogEntriesKept || recent_bytes_ > kLogBytesKept) {
    recent_bytes_ -= recent_sizes_.front();
    recent_.pop_front();
    recent_sizes_.pop_front();
  }
}

bool MetadataLog::install_snapshot(const Metadata& metadata) {
  if (metadata.epoch <= epoch())
    return false;
  bool is_ours =
      !view_->cluster || metadata.cluster == view_->cluster || is_successor_cluster(*view_, metadata.cluster);
  if (!is_ours)
    return false;
  view_ = std::make_shared<Metadata>(metadata);
  recent_.clear();
  recent_sizes_.clear();
  recent_bytes_ = 0;
  waiting_.erase(waiting_.begin(), waiting_.upper_bound(metadata.epoch));
  return true;
}

LogUpdates MetadataLog::updates_since(Epoch known) const {
  if (known >= epoch())
    return {};
  size_t missing = epoch().value() - known.value();
  if (missing > recent_.size() || missing > kMaxEntriesPerReply)
    return {*view_, {}};
  return {std::nullopt, Entries(recent_.end() - static_cast<ptrdiff_t>(missing), recent_.end())};
}

LogUpdates MetadataLog::small_updates_since(Epoch known) const {
  size_t missing = known < epoch() ? epoch().value() - known.value() : 0;
  if (missing > recent_.size())
    return {};
  size_t bytes = 0;
  for (size_t i = recent_sizes_.size() - missing; i < recent_sizes_.size(); ++i)
    bytes += recent_sizes_[i];
  if (bytes > kMaxHeartbeatReplyBytes)
    return {};
  return updates_since(known);
}

}  // namespace mosskeel
