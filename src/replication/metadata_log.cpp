#include "replication/metadata_log.hpp"
#include "replication/constants.hpp"

namespace mosskeel {

std::vector<Entry> MetadataLog::add(const Entry& e) {
  std::vector<Entry> done;
  if (e.epoch <= epoch())
    return done;
  if (waiting_.size() < kLogEntriesKept || e.epoch == next(epoch()))
    waiting_[e.epoch] = e;
  while (!waiting_.empty() && waiting_.begin()->first <= next(epoch())) {
    auto x = std::move(waiting_.begin()->second);
    waiting_.erase(waiting_.begin());
    if (x.epoch != next(epoch()))
      continue;
    auto r = apply(*view_, x);
    if (!r.ok())
      break;
    view_ = std::make_shared<Metadata>(std::move(r).value());
    recent_.push_back(x);
    weights_.push_back(codec::pack(x).size());
    weight_ += weights_.back();
    while (recent_.size() > kLogEntriesKept || weight_ > kLogBytesKept) {
      weight_ -= weights_.front();
      recent_.pop_front(), weights_.pop_front();
    }
    done.push_back(std::move(x));
  }
  return done;
}

bool MetadataLog::install_snapshot(const Metadata& m) {
  if (m.epoch <= epoch())
    return false;
  bool ours = !view_->cluster || m.cluster == view_->cluster || is_successor_cluster(*view_, m.cluster);
  if (!ours)
    return false;
  view_ = std::make_shared<Metadata>(m);
  recent_.clear(), weights_.clear();
  weight_ = 0;
  waiting_.erase(waiting_.begin(), waiting_.upper_bound(m.epoch));
  return true;
}

std::pair<std::optional<Metadata>, Entries> MetadataLog::updates_since(Epoch known) const {
  if (known >= epoch())
    return {};
  size_t lack = epoch().value() - known.value();
  if (lack > recent_.size() || lack > kMaxEntriesPerReply)
    return {*view_, {}};
  return {std::nullopt, Entries(recent_.end() - static_cast<ptrdiff_t>(lack), recent_.end())};
}

std::pair<std::optional<Metadata>, Entries> MetadataLog::small_updates_since(Epoch known) const {
  size_t lack = known < epoch() ? epoch().value() - known.value() : 0, bytes = 0;
  if (lack > recent_.size())
    return {};
  for (size_t i = weights_.size() - lack; i < weights_.size(); ++i)
    bytes += weights_[i];
  if (bytes > kMaxHeartbeatReplyBytes)
    return {};
  return updates_since(known);
}

}  // namespace mosskeel
