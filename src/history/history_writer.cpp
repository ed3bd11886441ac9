#include "history/history_writer.hpp"

#include "history/constants.hpp"
#include "history/partition_lookup.hpp"
#include "history/record_bytes.hpp"

namespace mosskeel {

bool HistoryWriter::owns(PartitionId id) const {
  auto* owner = find_owner(*metadata_log_.view(), id);
  return owner && owner->self.incarnation == out_.id().self.incarnation;
}

const OpenHistory* HistoryWriter::find(const HistoryName& name) const {
  auto found = histories_.find(name);
  return found == histories_.end() ? nullptr : &found->second;
}

HistoryWriter::State HistoryWriter::open(const HistoryName& name, TimePoint now) {
  auto partition = partition_of(name.cell, name.program);
  if (!owns(partition))
    return State::fenced;
  auto term = metadata_log_.view()->partitions[partition.value()].term;
  auto found = histories_.find(name);
  if (found != histories_.end() && found->second.term() != term) {
    drop_history(found);
    found = histories_.end();
  }
  if (found == histories_.end())
    found = begin_opening(name, partition, term, now);
  auto& history = found->second;
  history.set_used_at(now);
  if (history.is_open())
    return State::open;
  if (now - history.opening_since() <= kHistoryQuorumTimeout)
    return State::opening;
  // The next call starts over, unless the write-back or a download is in progress: those continue.
  if (history.phase() == OpenHistory::Phase::reading && !downloads_.count(name))
    drop_history(found);
  return State::unavailable;
}

HistoryWriter::OpenHistories::iterator HistoryWriter::drop_history(OpenHistories::iterator history) {
  downloads_.erase(history->first);
  return histories_.erase(history);
}

HistoryWriter::OpenHistories::iterator HistoryWriter::begin_opening(const HistoryName& name, PartitionId partition,
                                                                    Epoch term, TimePoint now) {
  auto opened = histories_.emplace(name, OpenHistory(name, partition, term, now)).first;
  send_due(opened->second, now, OpenHistory::Resend::none);
  return opened;
}

const Records& HistoryWriter::records(const HistoryName& name) const {
  static const Records none;
  auto* history = find(name);
  return history ? history->records() : none;
}

size_t HistoryWriter::bytes(const HistoryName& name) const {
  auto* history = find(name);
  return history ? history->bytes() : 0;
}

uint64_t HistoryWriter::committed_length(const HistoryName& name) const {
  auto* history = find(name);
  return history ? history->committed_length() : 0;
}

bool HistoryWriter::is_committed(const HistoryName& name, const Record& record) const {
  auto index = static_cast<uint64_t>(&record - records(name).data());
  return index < committed_length(name);
}

Epoch HistoryWriter::term(const HistoryName& name) const {
  auto* history = find(name);
  return history ? history->term() : Epoch{};
}

bool HistoryWriter::ended(const HistoryName& name) const {
  auto* history = find(name);
  return history && history->has_ended();
}

bool HistoryWriter::has_quorum(const HistoryName& name, const StorePredicate& predicate) const {
  auto* history = find(name);
  return history && history->is_quorum(*metadata_log_.view(), predicate);
}

OwnershipChecks::State HistoryWriter::check_ownership(const HistoryName& name, const std::string& request,
                                                      TimePoint now) {
  auto partition = partition_of(name.cell, name.program);
  if (!owns(partition))
    return OwnershipChecks::State::refuted;
  return ownership_checks_.check(name, partition, request, now);
}

uint64_t HistoryWriter::append(const HistoryName& name, Record record, TimePoint now) {
  auto found = histories_.find(name);
  if (found == histories_.end())
    return 0;
  auto& history = found->second;
  history.append(std::move(record));
  send_due(history, now, OpenHistory::Resend::none);
  return history.records().size();
}

void HistoryWriter::send_due(OpenHistory& history, TimePoint now, OpenHistory::Resend resend) {
  auto& metadata = *metadata_log_.view();
  auto& partition = metadata.partitions[history.partition().value()];
  for (auto* store : write_targets(metadata, partition))
    if (auto request = history.next_request(partition, *store, now, resend))
      out_.send(store->self.address, std::move(*request), store->self.incarnation);
}

bool HistoryWriter::handle(const Envelope& envelope, TimePoint now) {
  auto handled = [&](const auto& message) {
    handle(message, envelope, now);
    return true;
  };
  return std::visit(overload{[&](const ReadHistoryReply& reply) { return handled(reply); },
                             [&](const LargeHistoryReply& reply) { return handled(reply); },
                             [&](const AppendHistoryReply& reply) { return handled(reply); },
                             [&](const ReadRecordsReply& page) { return handled(page); },
                             [&](const ReadRecords& request) {
                               handle(request, envelope);
                               return true;
                             },
                             [](const auto& /* not from a store */) {
                               return false;
                             }},
                    envelope.body);
}

OpenHistory* HistoryWriter::find_in_term(const HistoryName& name, Epoch term) {
  auto found = histories_.find(name);
  return found != histories_.end() && found->second.term() == term ? &found->second : nullptr;
}

void HistoryWriter::handle(const ReadHistoryReply& reply, const Envelope& envelope, TimePoint now) {
  if (OwnershipChecks::is_reply_to_check(reply)) {
    if (auto checked = ownership_checks_.handle(reply, envelope))
      changed_.insert(*checked);
    return;
  }
  if (reply.granted)
    on_read(reply, envelope, now);
}

void HistoryWriter::handle(const LargeHistoryReply& reply, const Envelope& envelope, TimePoint now) {
  on_read(reply, envelope, now);
}

template <class Reply>
void HistoryWriter::on_read(const Reply& reply, const Envelope& envelope, TimePoint now) {
  auto* history = find_in_term(reply.history, reply.term);
  auto* store = metadata_log_.view()->find(envelope.from_incarnation);
  if (!history || !store || history->phase() != OpenHistory::Phase::reading)
    return;
  history->on_read(store->id, reply, envelope.epoch);
  advance(*history, now);
}

void HistoryWriter::handle(const ReadRecordsReply& page, const Envelope& envelope, TimePoint now) {
  auto download = downloads_.find(page.history);
  auto history = histories_.find(page.history);
  if (download == downloads_.end() || history == histories_.end())
    return;
  if (download->second.handle(out_, page, envelope, now))
    advance(history->second, now);
}

/// Serves a store that lacks a large history: it reads the version that is written back under this term.
void HistoryWriter::handle(const ReadRecords& request, const Envelope& envelope) {
  auto* history = find(request.history);
  bool is_readable = history && history->phase() != OpenHistory::Phase::reading;
  auto reply = is_readable ? read_records(request, &history->records(), history->term())
                           : read_records(request, nullptr, Epoch{});
  out_.send(envelope.from, std::move(reply), envelope.from_incarnation);
}

void HistoryWriter::advance_download(OpenHistory& history, TimePoint now) {
  auto& metadata = *metadata_log_.view();
  auto& replica = history.awaited_replica();
  auto found = downloads_.find(history.name());
  // A later reply may have reported a higher version.
  if (found != downloads_.end() && (!replica || found->second.version() != replica->version)) {
    downloads_.erase(found);
    found = downloads_.end();
  }
  if (!replica || !history.is_read(metadata))
    return;
  auto* store = metadata.find(replica->store);
  if (found == downloads_.end() && store) {
    HistoryDownload download(out_, history.name(), history.partition(), replica->version, store->self.address,
                             store->self.incarnation, now);
    downloads_.emplace(history.name(), std::move(download));
    return;
  }
  if (found == downloads_.end() || found->second.state() != HistoryDownload::State::complete)
    return;
  history.on_downloaded(found->second.take_records());
  downloads_.erase(found);
}

void HistoryWriter::handle(const AppendHistoryReply& reply, const Envelope& envelope, TimePoint now) {
  auto* history = find_in_term(reply.history, reply.term);
  auto* store = metadata_log_.view()->find(envelope.from_incarnation);
  if (!history || !store || !reply.granted)
    return;
  if (reply.gap) {
    history->on_gap(store->id);
    return send_due(*history, now, OpenHistory::Resend::none);
  }
  history->on_synced(store->id, reply.length);
  advance(*history, now);
  if (history->is_open())
    send_due(*history, now, OpenHistory::Resend::none);
}

void HistoryWriter::advance(OpenHistory& history, TimePoint now) {
  auto& metadata = *metadata_log_.view();
  if (history.phase() != OpenHistory::Phase::reading) {
    if (history.advance_commit(metadata))
      changed_.insert(history.name());
    return;
  }
  advance_download(history, now);
  if (!history.finish_reading(metadata))
    return;
  if (history.is_open())
    changed_.insert(history.name());
  send_due(history, now, OpenHistory::Resend::none);
}

void HistoryWriter::tick(TimePoint now) {
  for (auto& checked : ownership_checks_.tick(now))
    changed_.insert(checked);
  for (auto next = histories_.begin(); next != histories_.end();) {
    auto current = next++;
    auto& [name, history] = *current;
    bool is_owned = owns(history.partition());
    auto download = downloads_.find(name);
    if (download != downloads_.end())
      download->second.tick(out_, now);
    bool has_failed = download != downloads_.end() && download->second.state() == HistoryDownload::State::failed;
    if (!is_owned || has_failed ||
        metadata_log_.view()->partitions[history.partition().value()].term != history.term()) {
      changed_.insert(name);
      drop_history(current);
    } else if (!history.is_settled()) {
      advance(history, now);
      send_due(history, now, OpenHistory::Resend::overdue);
    } else if (now - history.last_used_at() > kIdleHistoryTimeout) {
      drop_history(current);
    }
  }
}

}  // namespace mosskeel
