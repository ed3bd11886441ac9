#include "history/history_writer.hpp"

#include <algorithm>

#include "history/constants.hpp"
#include "history/history_version.hpp"
#include "history/partition_lookup.hpp"

namespace mosskeel {

bool HistoryWriter::owns(PartitionId id) const {
  auto& metadata = *metadata_log_.view();
  auto* partition = find_partition(metadata, id);
  auto* owner = partition ? metadata.find(partition->owner) : nullptr;
  return owner && owner->self.incarnation == out_.id().self.incarnation;
}

const HistoryWriter::OpenHistory* HistoryWriter::find(const HistoryName& name) const {
  auto found = histories_.find(name);
  return found == histories_.end() ? nullptr : &found->second;
}

HistoryWriter::State HistoryWriter::open(const HistoryName& name, TimePoint now) {
  auto partition = partition_of(name.cell, name.program);
  if (!owns(partition))
    return State::fenced;
  auto term = metadata_log_.view()->partitions[partition.value()].term;
  auto found = histories_.find(name);
  if (found != histories_.end() && found->second.term != term) {
    histories_.erase(found);
    found = histories_.end();
  }
  if (found == histories_.end())
    found = begin_opening(name, partition, term, now);
  auto& history = found->second;
  history.last_used_at = now;
  if (history.state == State::opening && now - history.opening_since > kHistoryQuorumTimeout) {
    // The next call begins anew. What has been read stays, since its writing goes on.
    if (history.reading)
      histories_.erase(found);
    return State::unavailable;
  }
  return history.state;
}

HistoryWriter::OpenHistories::iterator HistoryWriter::begin_opening(const HistoryName& name, PartitionId partition,
                                                                    Epoch term, TimePoint now) {
  auto opened = histories_.emplace(name, OpenHistory{}).first;
  auto& history = opened->second;
  history.partition = partition;
  history.term = term;
  history.opening_since = now;
  send_due(name, history, now, Resend::none);
  return opened;
}

const Records& HistoryWriter::records(const HistoryName& name) const {
  static const Records none;
  auto* history = find(name);
  return history ? history->records : none;
}

uint64_t HistoryWriter::committed_length(const HistoryName& name) const {
  auto* history = find(name);
  return history ? history->committed_length : 0;
}

bool HistoryWriter::is_committed(const HistoryName& name, const Record& record) const {
  auto index = static_cast<uint64_t>(&record - records(name).data());
  return index < committed_length(name);
}

Epoch HistoryWriter::term(const HistoryName& name) const {
  auto* history = find(name);
  return history ? history->term : Epoch{};
}

bool HistoryWriter::ended(const HistoryName& name) const {
  auto* history = find(name);
  if (!history)
    return false;
  auto& records = history->records;
  return history->has_tombstone || (!records.empty() && records.back().kind == RecordKind::ended);
}

bool HistoryWriter::has_quorum(const HistoryName& name, const StorePredicate& has) const {
  auto* history = find(name);
  return history && is_quorum(*history, has);
}

uint64_t HistoryWriter::append(const HistoryName& name, Record record, TimePoint now) {
  auto found = histories_.find(name);
  if (found == histories_.end())
    return 0;
  auto& history = found->second;
  history.records.push_back(std::move(record));
  send_due(name, history, now, Resend::none);
  return history.records.size();
}

/// All stores of both sets, but those of an evacuated zone.
std::vector<const Daemon*> HistoryWriter::write_targets(const OpenHistory& history) const {
  auto& metadata = *metadata_log_.view();
  auto& partition = metadata.partitions[history.partition.value()];
  std::set<DaemonId> ids(partition.stores.begin(), partition.stores.end());
  ids.insert(partition.pending_stores.begin(), partition.pending_stores.end());
  std::vector<const Daemon*> targets;
  for (auto id : ids) {
    auto* store = metadata.find(id);
    if (store && store->state != DaemonState::left && !metadata.evacuated.count(store->self.zone))
      targets.push_back(store);
  }
  return targets;
}

void HistoryWriter::send_due(const HistoryName& name, OpenHistory& history, TimePoint now, Resend resend) {
  for (auto* store : write_targets(history)) {
    auto& progress = history.stores[store->id];
    if (progress.incarnation != store->self.incarnation) {
      progress = {};
      progress.incarnation = store->self.incarnation;
    }
    if (send_next(name, history, *store, progress, now, resend))
      progress.last_sent_at = now;
  }
}

bool HistoryWriter::send_next(const HistoryName& name, OpenHistory& history, const Daemon& store,
                              StoreProgress& progress, TimePoint now, Resend resend) {
  bool is_overdue = resend == Resend::overdue && now - progress.last_sent_at >= kStoreRetryInterval;
  bool is_due = progress.last_sent_at == TimePoint{} || is_overdue;
  auto& self = store.self;
  if (history.reading) {
    if (!is_due || has_read(history, progress))
      return false;
    out_.send(self.address, ReadHistory{name, history.partition, history.term}, self.incarnation);
    return true;
  }
  if (!progress.has_history) {
    if (!is_due || history.records.empty())
      return false;
    progress.sent_length = history.records.size();
    out_.send(self.address, AppendHistory{name, history.partition, history.term, true, 0, history.records},
              self.incarnation);
    return true;
  }
  if (is_overdue && progress.synced_length < history.records.size())
    progress.sent_length = progress.synced_length;
  return send_new_records(name, history, store, progress);
}

bool HistoryWriter::send_new_records(const HistoryName& name, const OpenHistory& history, const Daemon& store,
                                     StoreProgress& progress) {
  auto& records = history.records;
  if (progress.sent_length >= records.size())
    return false;
  Records unsent(records.begin() + static_cast<ptrdiff_t>(progress.sent_length), records.end());
  out_.send(store.self.address,
            AppendHistory{name, history.partition, history.term, false, progress.sent_length, std::move(unsent)},
            store.self.incarnation);
  progress.sent_length = records.size();
  return true;
}

bool HistoryWriter::handle(const Envelope& envelope, TimePoint now) {
  if (auto* reply = std::get_if<ReadHistoryReply>(&envelope.body)) {
    handle(*reply, envelope, now);
    return true;
  }
  if (auto* reply = std::get_if<AppendHistoryReply>(&envelope.body)) {
    handle(*reply, envelope, now);
    return true;
  }
  return false;
}

HistoryWriter::OpenHistory* HistoryWriter::awaiting(const HistoryName& name, Epoch term) {
  auto found = histories_.find(name);
  return found != histories_.end() && found->second.term == term ? &found->second : nullptr;
}

void HistoryWriter::handle(const ReadHistoryReply& reply, const Envelope& envelope, TimePoint now) {
  auto* history = awaiting(reply.history, reply.term);
  auto* store = metadata_log_.view()->find(envelope.from_incarnation);
  if (!history || !store || !reply.granted || !history->reading)
    return;
  auto& progress = history->stores[store->id];
  progress.has_answered_read = true;
  progress.read_epoch = std::max(progress.read_epoch, envelope.epoch);
  history->has_tombstone = history->has_tombstone || reply.has_tombstone;
  HistoryVersion best_read{history->replica_term, history->records.size()};
  if (best_read < version_of(reply)) {
    history->replica_term = reply.history_term;
    history->records = reply.records;
  }
  advance(reply.history, *history, now);
}

void HistoryWriter::handle(const AppendHistoryReply& reply, const Envelope& envelope, TimePoint now) {
  auto* history = awaiting(reply.history, reply.term);
  auto* store = metadata_log_.view()->find(envelope.from_incarnation);
  if (!history || !store)
    return;
  auto& progress = history->stores[store->id];
  if (!reply.granted)
    return;
  if (reply.gap) {
    progress.has_history = false;
    progress.last_sent_at = {};
    send_due(reply.history, *history, now, Resend::none);
    return;
  }
  progress.has_history = true;
  progress.synced_length = std::max(progress.synced_length, reply.length);
  advance(reply.history, *history, now);
  if (history->state == State::open)
    send_due(reply.history, *history, now, Resend::none);
}

void HistoryWriter::advance(const HistoryName& name, OpenHistory& history, TimePoint now) {
  if (history.reading)
    finish_reading(name, history, now);
  else
    advance_commit(name, history);
}

void HistoryWriter::finish_reading(const HistoryName& name, OpenHistory& history, TimePoint now) {
  if (!is_quorum(history, by_progress(history, [&](auto& progress) { return has_read(history, progress); })))
    return;
  history.reading = false;
  for (auto& [id, progress] : history.stores) {
    progress.last_sent_at = {};
    progress.has_history = false;
  }
  if (history.has_tombstone)
    history.records.clear();
  // There is nothing to write back.
  if (history.records.empty())
    set_open(name, history);
  send_due(name, history, now, Resend::none);
}

/// The committed length is the largest that a quorum has synced. It never falls, and records of earlier terms count
/// only with the whole history written back under this one.
void HistoryWriter::advance_commit(const HistoryName& name, OpenHistory& history) {
  std::vector<uint64_t> synced_lengths;
  for (auto& [id, progress] : history.stores)
    if (progress.has_history)
      synced_lengths.push_back(progress.synced_length);
  std::sort(synced_lengths.rbegin(), synced_lengths.rend());
  auto committed_before = history.committed_length;
  for (auto length : synced_lengths) {
    bool is_news = length > committed_before || (length == committed_before && history.state != State::open);
    if (!is_news)
      break;
    auto has_synced = [&](auto& progress) {
      return progress.has_history && progress.synced_length >= length;
    };
    if (!is_quorum(history, by_progress(history, has_synced)))
      continue;
    history.committed_length = length;
    break;
  }
  bool all_committed = history.committed_length >= history.records.size();
  auto has_history = [](auto& progress) {
    return progress.has_history;
  };
  if (history.state == State::opening && all_committed && is_quorum(history, by_progress(history, has_history)))
    set_open(name, history);
  if (history.committed_length != committed_before)
    changed_.insert(name);
}

void HistoryWriter::set_open(const HistoryName& name, OpenHistory& history) {
  history.state = State::open;
  changed_.insert(name);
}

/// While reading, a read quorum of the set in force; else a write quorum of it, and of the pending set where there is
/// one.
bool HistoryWriter::is_quorum(const OpenHistory& history, const StorePredicate& has) const {
  auto& metadata = *metadata_log_.view();
  auto& partition = metadata.partitions[history.partition.value()];
  auto count = [&](const std::vector<DaemonId>& stores) {
    return static_cast<size_t>(std::count_if(stores.begin(), stores.end(), has));
  };
  auto is_write_quorum = [&](const std::vector<DaemonId>& stores) {
    return count(stores) >= metadata.write_quorum(stores.size());
  };
  if (history.reading) {
    auto size = partition.stores.size();
    return size >= metadata.write_quorum(size) && count(partition.stores) >= metadata.read_quorum(size);
  }
  bool is_pending_quorum = partition.pending_stores.empty() || is_write_quorum(partition.pending_stores);
  return is_pending_quorum && is_write_quorum(partition.stores);
}

/// What a store said before it knew of the set in force does not tell what it holds as a member of that set.
bool HistoryWriter::has_read(const OpenHistory& history, const StoreProgress& progress) const {
  auto& partition = metadata_log_.view()->partitions[history.partition.value()];
  return progress.has_answered_read && progress.read_epoch >= partition.stores_epoch;
}

HistoryWriter::StorePredicate HistoryWriter::by_progress(const OpenHistory& history,
                                                         std::function<bool(const StoreProgress&)> holds) {
  return [&history, holds = std::move(holds)](DaemonId id) {
    auto progress = history.stores.find(id);
    return progress != history.stores.end() && holds(progress->second);
  };
}

void HistoryWriter::tick(TimePoint now) {
  for (auto next = histories_.begin(); next != histories_.end();) {
    auto current = next++;
    auto& [name, history] = *current;
    bool owned = owns(history.partition);
    if (!owned || metadata_log_.view()->partitions[history.partition.value()].term != history.term) {
      changed_.insert(name);
      histories_.erase(current);
    } else if (history.state == State::opening || history.committed_length < history.records.size()) {
      advance(name, history, now);
      send_due(name, history, now, Resend::overdue);
    } else if (now - history.last_used_at > kIdleHistoryTimeout) {
      histories_.erase(current);
    }
  }
}

}  // namespace mosskeel
