#include "history/store_machine.hpp"

#include <algorithm>

#include "history/partition_lookup.hpp"
#include "history/record_bytes.hpp"
#include "history/turn_chain.hpp"

namespace mosskeel {

StoreMachine::StoreMachine(const Identity& id, Recovered recovered, TimePoint now)
    : out_(id),
      follower_(out_, metadata_log_, now,
                {[this](const Entry& entry) { journal_.append(entry); },
                 [this](const Metadata& metadata) {
                   journal_.append(metadata);
                 }}),
      clock_(now),
      journal_(out_),
      table_(journal_, clock_),
      repair_(out_, metadata_log_, table_, clock_),
      streams_(out_, metadata_log_, table_),
      adoptions_(out_),
      expiry_(out_, metadata_log_, table_, clock_),
      moved_partitions_(out_, metadata_log_, table_),
      load_shedder_(out_, table_) {
  if (recovered.checkpoint)
    restore_checkpoint(std::move(*recovered.checkpoint));
  replay_journal(std::move(recovered.journal));
  out_.cluster = metadata_log_.view()->cluster;
  out_.epoch = metadata_log_.epoch();
  follower_.report_durable_epochs_only();
}

/// Decodes the encoding of `StoreCheckpoint` incrementally, one partition at a time, to limit peak memory. A checkpoint
/// that cannot be decoded completely changes nothing.
void StoreMachine::restore_checkpoint(std::string checkpoint) {
  codec::Reader reader{checkpoint};
  Metadata metadata{};
  StoredPartitions partitions;
  uint32_t count = 0;
  bool readable = codec::get(reader, metadata) && codec::get(reader, count);
  for (; readable && count > 0; --count) {
    PartitionId id;
    readable = codec::get(reader, id) && codec::get(reader, partitions[id]);
  }
  Duration uptime{};
  bool complete = readable && codec::get(reader, uptime) && reader.remaining.empty();
  if (!complete)
    return;
  metadata_log_.install_snapshot(metadata);
  table_.restore(std::move(partitions));
  clock_.restore(uptime);
  journal_.set_checkpoint_bytes(checkpoint.size());
}

/// Frees the memory of each record once it is applied.
void StoreMachine::replay_journal(std::vector<std::string> journal) {
  for (auto& bytes : journal) {
    journal_.count_recovered(bytes.size());
    if (auto record = codec::decode<StoreRecord>(bytes))
      replay(*record);
    bytes = {};
  }
}

void StoreMachine::replay(const StoreRecord& record) {
  std::visit(overload{[&](const Entry& entry) { metadata_log_.add(entry); },
                      [&](const Metadata& metadata) { metadata_log_.install_snapshot(metadata); },
                      [&](const auto& change) {
                        table_.replay(change);
                      }},
             record);
}

std::string StoreMachine::checkpoint() const {
  std::string bytes;
  bytes.reserve(journal_.expected_checkpoint_bytes());
  codec::put(bytes, *metadata_log_.view());
  codec::put(bytes, table_.partitions());
  codec::put(bytes, clock_.uptime());
  journal_.set_checkpoint_bytes(bytes.size());
  return bytes;
}

Actions StoreMachine::step(const Envelope& envelope, TimePoint now) {
  clock_.advance_to(now);
  if (follower_.is_foreign(envelope)) {
    out_.log_event(Event::foreign, "from " + envelope.from);
    return finish_step();
  }
  auto epoch_before = metadata_log_.epoch();
  handle(envelope, now);
  if (metadata_log_.epoch() != epoch_before) {
    for (auto& deferred : follower_.take_deferred())
      handle(deferred, now);
    run_timers(now);
  }
  return finish_step();
}

Actions StoreMachine::tick(TimePoint now) {
  clock_.advance_to(now);
  run_timers(now);
  return finish_step();
}

void StoreMachine::run_timers(TimePoint now) {
  streams_.tick(now);
  adoptions_.tick(now);
  expiry_.tick(now);
  moved_partitions_.tick(now);
  repair_.tick(now);
  Heartbeat heartbeat{};
  heartbeat.self = out_.id().self;
  heartbeat.streamed = streams_.completed_sequence();
  heartbeat.incomplete_comparisons = repair_.incomplete_comparisons();
  follower_.tick(now, &heartbeat);
}

Actions StoreMachine::finish_step() {
  if (journal_.checkpoint_due()) {
    out_.actions.checkpoint = checkpoint();
    journal_.checkpoint_written();
  }
  return out_.take();
}

void StoreMachine::handle(const Envelope& envelope, TimePoint now) {
  if (follower_.handle(envelope, now))
    return;
  if (load_shedder_.shed_if_overloaded(envelope))
    return;
  if (follower_.defer(envelope, now))
    return;
  if (repair_.handle(envelope, now))
    return;
  std::visit(overload{[&](const ReadHistory& request) { handle(request, envelope); },
                      [&](const AppendHistory& request) { handle(request, envelope); },
                      [&](const WriteTombstone& request) { handle(request, envelope); },
                      [&](const AdoptHistory& request) { handle(request, envelope, now); },
                      [&](const ReadRecords& request) { handle(request, envelope); },
                      [&](const ReadRecordsReply& page) { handle(page, envelope, now); },
                      [&](const StreamLargeHistory& page) { streams_.handle(page, envelope, now); },
                      [&](const StreamPartition& request) { streams_.handle(request, envelope); },
                      [&](const StreamPartitionReply& page) { handle(page, envelope, now); },
                      [&](const FindChain& request) { handle(request, envelope); },
                      [](const auto& /* addressed to other kinds of daemons */) {
                      }},
             envelope.body);
}

bool StoreMachine::is_from_owner(const Envelope& envelope, PartitionId id) const {
  auto& metadata = *metadata_log_.view();
  auto* self = metadata.find(out_.id().self.incarnation);
  auto* sender = metadata.find(envelope.from_incarnation);
  auto* partition = find_partition(metadata, id);
  if (!self || !sender || !partition)
    return false;
  bool holds_partition = contains(partition->stores, self->id) || contains(partition->pending_stores, self->id);
  bool knows_stores = envelope.epoch >= std::max(partition->term, partition->stores_epoch);
  return holds_partition && knows_stores && partition->owner == sender->id;
}

/// A read raises the fence: from then on this store rejects writes of earlier owners of the partition.
void StoreMachine::handle(const ReadHistory& request, const Envelope& envelope) {
  ReadHistoryReply reply{request.history, request.term, false, {}, false, {}};
  reply.granted = is_from_owner(envelope, request.partition) && table_.raise_fence(request.partition, request.term);
  if (auto* partition = table_.find(request.partition))
    reply.has_tombstone = partition->has_tombstone(request.history);
  auto* history = table_.find(request.partition, request.history);
  if (history && reply.granted && is_large(history->records)) {
    LargeHistoryReply large{request.history, request.term, history->term, history->records.size()};
    return out_.send_synced(envelope.from, std::move(large), envelope.from_incarnation);
  }
  if (history && reply.granted) {
    reply.history_term = history->term;
    reply.records = history->records;
  }
  out_.send_synced(envelope.from, std::move(reply), envelope.from_incarnation);
}

bool StoreMachine::accepts_writes(const Envelope& envelope, PartitionId id, Epoch term) const {
  return is_from_owner(envelope, id) && table_.fence(id) <= term;
}

void StoreMachine::handle(const AppendHistory& request, const Envelope& envelope) {
  if (!accepts_writes(envelope, request.partition, request.term)) {
    out_.send(envelope.from, AppendHistoryReply{request.history, request.term, false, false, 0},
              envelope.from_incarnation);
    return;
  }
  auto reply = table_.append(request);
  out_.send_synced(envelope.from, reply, envelope.from_incarnation);
}

void StoreMachine::handle(const AdoptHistory& request, const Envelope& envelope, TimePoint now) {
  if (!accepts_writes(envelope, request.partition, request.term)) {
    out_.send(envelope.from, AppendHistoryReply{request.history, request.term, false, false, 0},
              envelope.from_incarnation);
    return;
  }
  if (auto reply = table_.adopt(request))
    return out_.send_synced(envelope.from, *reply, envelope.from_incarnation);
  adoptions_.begin(request, envelope, now);
}

void StoreMachine::handle(const ReadRecords& request, const Envelope& envelope) {
  auto* history = table_.find(request.partition, request.history);
  auto reply = history ? read_records(request, &history->records, history->term) : read_records(request, nullptr, {});
  out_.send(envelope.from, std::move(reply), envelope.from_incarnation);
}

/// Each component ignores pages that it has not requested.
void StoreMachine::handle(const ReadRecordsReply& page, const Envelope& envelope, TimePoint now) {
  streams_.handle(page, envelope, now);
  repair_.handle(page, envelope, now);
  if (auto adopted = adoptions_.handle(page, envelope, now))
    handle(adopted->write, adopted->request);
}

void StoreMachine::handle(const WriteTombstone& request, const Envelope& envelope) {
  if (!accepts_writes(envelope, request.partition, request.term))
    return;
  auto* partition = table_.find(request.partition);
  if (partition && partition->has_tombstone(request.history))
    return;
  table_.write_tombstone(request.partition, request.history);
}

void StoreMachine::handle(const StreamPartitionReply& page, const Envelope& envelope, TimePoint now) {
  bool completed_partition = streams_.handle(page, envelope, now);
  if (!completed_partition || streams_.completed_sequence() < page.sequence)
    return;
  out_.log_event(Event::streamed, "sequence of epoch " + std::to_string(page.sequence.value()));
  follower_.send_heartbeat_soon();
}

void StoreMachine::handle(const FindChain& request, const Envelope& envelope) {
  FindChainReply reply{request.turn, false, {}};
  if (auto text = find_chain_text(table_.partitions(), request.turn)) {
    reply.found = true;
    reply.text = std::move(*text);
  }
  out_.send_synced(envelope.from, std::move(reply), envelope.from_incarnation);
}

}  // namespace mosskeel
