#include "history/open_history.hpp"

#include <algorithm>

#include "history/constants.hpp"
#include "history/history_version.hpp"

namespace mosskeel {

bool OpenHistory::has_ended() const {
  return has_tombstone_ || (!records_.empty() && records_.back().kind == RecordKind::ended);
}

bool OpenHistory::is_quorum(const Metadata& metadata, const StorePredicate& has) const {
  auto& partition = partition_in(metadata);
  if (phase_ == Phase::reading)
    return is_read_quorum(metadata, partition, has);
  return is_write_quorum(metadata, partition, has);
}

OpenHistory::StoreProgress& OpenHistory::progress_of(const Daemon& store) {
  auto& progress = stores_[store.id];
  if (progress.incarnation != store.self.incarnation) {
    progress = {};
    progress.incarnation = store.self.incarnation;
  }
  return progress;
}

std::optional<Message> OpenHistory::next_request(const Partition& partition, const Daemon& store, TimePoint now,
                                                 Resend resend) {
  auto& progress = progress_of(store);
  auto request = make_request(partition, progress, now, resend);
  if (request)
    progress.last_sent_at = now;
  return request;
}

std::optional<Message> OpenHistory::make_request(const Partition& partition, StoreProgress& progress, TimePoint now,
                                                 Resend resend) const {
  bool is_overdue = resend == Resend::overdue && now - progress.last_sent_at >= kStoreRetryInterval;
  bool is_due = progress.last_sent_at == TimePoint{} || is_overdue;
  if (phase_ == Phase::reading) {
    if (!is_due || has_read(partition, progress))
      return std::nullopt;
    return ReadHistory{name_, partition_, term_};
  }
  if (!progress.has_history) {
    if (!is_due || records_.empty())
      return std::nullopt;
    progress.sent_length = records_.size();
    return AppendHistory{name_, partition_, term_, true, 0, records_};
  }
  if (is_overdue && progress.synced_length < records_.size())
    progress.sent_length = progress.synced_length;
  return append_request(progress);
}

std::optional<Message> OpenHistory::append_request(StoreProgress& progress) const {
  if (progress.sent_length >= records_.size())
    return std::nullopt;
  auto from = progress.sent_length;
  Records unsent(records_.begin() + static_cast<ptrdiff_t>(from), records_.end());
  progress.sent_length = records_.size();
  return AppendHistory{name_, partition_, term_, false, from, std::move(unsent)};
}

void OpenHistory::on_read(DaemonId store, const ReadHistoryReply& reply, Epoch epoch) {
  auto& progress = stores_[store];
  progress.has_answered_read = true;
  progress.read_epoch = std::max(progress.read_epoch, epoch);
  has_tombstone_ = has_tombstone_ || reply.has_tombstone;
  HistoryVersion best_read{replica_term_, records_.size()};
  if (best_read < version_of(reply)) {
    replica_term_ = reply.history_term;
    records_ = reply.records;
  }
}

void OpenHistory::on_synced(DaemonId store, uint64_t length) {
  auto& progress = stores_[store];
  progress.has_history = true;
  progress.synced_length = std::max(progress.synced_length, length);
}

void OpenHistory::on_gap(DaemonId store) {
  auto& progress = stores_[store];
  progress.has_history = false;
  progress.last_sent_at = {};
}

bool OpenHistory::finish_reading(const Metadata& metadata) {
  auto& partition = partition_in(metadata);
  auto has_answered = by_progress([&](const StoreProgress& progress) { return has_read(partition, progress); });
  if (!is_quorum(metadata, has_answered))
    return false;
  phase_ = Phase::writing_back;
  for (auto& [id, progress] : stores_) {
    progress.last_sent_at = {};
    progress.has_history = false;
  }
  if (has_tombstone_)
    records_.clear();
  // There is nothing to write back.
  if (records_.empty())
    phase_ = Phase::open;
  return true;
}

bool OpenHistory::advance_commit(const Metadata& metadata) {
  auto committed_before = committed_length_;
  committed_length_ = synced_by_quorum(metadata);
  bool has_committed = committed_length_ != committed_before;
  bool all_committed = committed_length_ >= records_.size();
  auto has_history = by_progress([](const StoreProgress& progress) { return progress.has_history; });
  bool opens = phase_ == Phase::writing_back && all_committed && is_quorum(metadata, has_history);
  if (opens)
    phase_ = Phase::open;
  return opens || has_committed;
}

uint64_t OpenHistory::synced_by_quorum(const Metadata& metadata) const {
  std::vector<uint64_t> synced_lengths;
  for (auto& [id, progress] : stores_)
    if (progress.has_history && progress.synced_length > committed_length_)
      synced_lengths.push_back(progress.synced_length);
  std::sort(synced_lengths.rbegin(), synced_lengths.rend());
  for (auto length : synced_lengths) {
    auto has_synced = by_progress(
        [length](const StoreProgress& progress) { return progress.has_history && progress.synced_length >= length; });
    if (is_quorum(metadata, has_synced))
      return length;
  }
  return committed_length_;
}

/// An answer that a store gave before it knew the set in force does not count for what it holds as a member of it.
bool OpenHistory::has_read(const Partition& partition, const StoreProgress& progress) {
  return progress.has_answered_read && progress.read_epoch >= partition.stores_epoch;
}

StorePredicate OpenHistory::by_progress(ProgressPredicate holds) const {
  return [this, holds = std::move(holds)](DaemonId id) {
    auto progress = stores_.find(id);
    return progress != stores_.end() && holds(progress->second);
  };
}

}  // namespace mosskeel
