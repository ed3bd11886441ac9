#include "history/open_history.hpp"

#include <algorithm>

#include "history/constants.hpp"
#include "history/record_bytes.hpp"

namespace mosskeel {

bool OpenHistory::has_ended() const {
  return has_tombstone_ || (!records_.empty() && records_.back().kind == RecordKind::ended);
}

bool OpenHistory::is_quorum(const Metadata& metadata, const StorePredicate& predicate) const {
  auto& partition = partition_in(metadata);
  if (phase_ == Phase::reading)
    return is_read_quorum(metadata, partition, predicate);
  return is_write_quorum(metadata, partition, predicate);
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
    return replace_request(progress);
  }
  if (is_overdue && progress.synced_length < records_.size())
    progress.sent_length = progress.synced_length;
  return append_request(progress);
}

/// For a large history only the version is sent: most stores already have it, and the others download it from here.
std::optional<Message> OpenHistory::replace_request(StoreProgress& progress) const {
  progress.sent_length = records_.size();
  if (is_large(records_))
    return AdoptHistory{name_, partition_, term_, replica_.term, replica_.length, records_.size()};
  return AppendHistory{name_, partition_, term_, true, 0, records_};
}

/// Records that do not fit into one message are sent after the store's reply.
std::optional<Message> OpenHistory::append_request(StoreProgress& progress) const {
  if (progress.sent_length >= records_.size())
    return std::nullopt;
  auto from = progress.sent_length;
  auto unsent = page_of(records_, from, records_.size());
  progress.sent_length += unsent.size();
  return AppendHistory{name_, partition_, term_, false, from, std::move(unsent)};
}

void OpenHistory::append(Record record) {
  bytes_ += bytes_of(record);
  records_.push_back(std::move(record));
}

void OpenHistory::record_read_reply(DaemonId store, Epoch epoch) {
  auto& progress = stores_[store];
  progress.has_answered_read = true;
  progress.read_epoch = std::max(progress.read_epoch, epoch);
}

void OpenHistory::on_read(DaemonId store, const ReadHistoryReply& reply, Epoch epoch) {
  record_read_reply(store, epoch);
  has_tombstone_ = has_tombstone_ || reply.has_tombstone;
  if (version_of(reply) <= replica_)
    return;
  replica_ = version_of(reply);
  awaited_replica_.reset();
  records_ = reply.records;
  bytes_ = bytes_of(records_);
}

void OpenHistory::on_read(DaemonId store, const LargeHistoryReply& reply, Epoch epoch) {
  record_read_reply(store, epoch);
  HistoryVersion version{reply.history_term, reply.length};
  if (version <= replica_)
    return;
  replica_ = version;
  awaited_replica_ = LargeReplica{store, version};
  records_.clear();
  bytes_ = 0;
}

void OpenHistory::on_downloaded(Records records) {
  awaited_replica_.reset();
  records_ = std::move(records);
  bytes_ = bytes_of(records_);
}

void OpenHistory::on_synced(DaemonId store, uint64_t length) {
  auto& progress = stores_[store];
  // A store that has adopted the history may have fewer records than the history has by now.
  if (!progress.has_history)
    progress.sent_length = std::min(progress.sent_length, length);
  progress.has_history = true;
  progress.synced_length = std::max(progress.synced_length, length);
}

void OpenHistory::on_gap(DaemonId store) {
  auto& progress = stores_[store];
  progress.has_history = false;
  progress.last_sent_at = {};
}

bool OpenHistory::is_read(const Metadata& metadata) const {
  auto& partition = partition_in(metadata);
  return is_quorum(metadata, stores_whose_progress([&](auto& progress) { return has_read(partition, progress); }));
}

bool OpenHistory::finish_reading(const Metadata& metadata) {
  if (!is_read(metadata) || (awaited_replica_ && !has_tombstone_))
    return false;
  phase_ = Phase::writing_back;
  for (auto& [id, progress] : stores_) {
    progress.last_sent_at = {};
    progress.has_history = false;
  }
  if (has_tombstone_) {
    records_.clear();
    bytes_ = 0;
  }
  // An empty history needs no write-back.
  if (records_.empty())
    phase_ = Phase::open;
  return true;
}

bool OpenHistory::advance_commit(const Metadata& metadata) {
  auto committed_before = committed_length_;
  committed_length_ = synced_by_quorum(metadata);
  bool has_committed = committed_length_ != committed_before;
  bool all_committed = committed_length_ >= records_.size();
  auto has_history = stores_whose_progress([](const StoreProgress& progress) { return progress.has_history; });
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
    auto has_synced = stores_whose_progress(
        [length](const StoreProgress& progress) { return progress.has_history && progress.synced_length >= length; });
    if (is_quorum(metadata, has_synced))
      return length;
  }
  return committed_length_;
}

/// A read reply that a store sent before it knew the current store set does not count as a reply of that set's member.
bool OpenHistory::has_read(const Partition& partition, const StoreProgress& progress) {
  return progress.has_answered_read && progress.read_epoch >= partition.stores_epoch;
}

StorePredicate OpenHistory::stores_whose_progress(ProgressPredicate predicate) const {
  return [this, predicate = std::move(predicate)](DaemonId id) {
    auto progress = stores_.find(id);
    return progress != stores_.end() && predicate(progress->second);
  };
}

}  // namespace mosskeel
