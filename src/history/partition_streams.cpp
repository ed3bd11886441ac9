#include "history/partition_streams.hpp"

#include <algorithm>

#include "history/constants.hpp"
#include "history/partition_lookup.hpp"

namespace mosskeel {
namespace {

size_t encoded_size(const Records& records) {
  size_t bytes = 0;
  for (auto& record : records)
    bytes += record.input.size() + record.output.size() + kRecordOverheadBytes;
  return bytes;
}

/// Adds the histories behind the requested one, until the page is full.
void add_histories(StreamPartitionReply& page, const Histories& histories) {
  size_t bytes = 0;
  auto next = page.after.program.empty() ? histories.begin() : histories.upper_bound(page.after);
  for (; next != histories.end(); ++next) {
    if (bytes > kStreamPageBytes) {
      page.more = true;
      return;
    }
    auto& [name, history] = *next;
    bytes += encoded_size(history.records);
    page.histories.push_back({name, history.term, history.records});
  }
}

void add_tombstones(StreamPartitionReply& page, const Tombstones& tombstones) {
  page.tombstones = tombstones.above(page.after_tombstone, kTombstonesPerMessage);
  if (page.tombstones.size() == kTombstonesPerMessage)
    page.more = true;
}

}  // namespace

bool PartitionStreams::Source::in_flight(TimePoint now) const {
  return awaits_page && now - requested_at < kStreamPageTimeout;
}

void PartitionStreams::tick(TimePoint now) {
  auto* self = metadata_log_.view()->find(out_.id().self.incarnation);
  if (!self)
    return;
  follow_metadata(self->id);
  request_pages(now);
}

void PartitionStreams::follow_metadata(DaemonId self) {
  auto& partitions = metadata_log_.view()->partitions;
  for (uint32_t i = 0; i < partitions.size(); ++i) {
    auto& partition = partitions[i];
    PartitionId id{i};
    if (!contains(partition.pending_stores, self) || contains(partition.stores, self)) {
      streams_.erase(id);
      continue;
    }
    auto& stream = streams_[id];
    if (stream.sequence != partition.stores_epoch)
      stream = {partition.stores_epoch, {}, false};
    if (partition.stores.empty())
      stream.complete = true;
  }
}

void PartitionStreams::request_pages(TimePoint now) {
  for (auto id : in_rotation()) {
    if (pages_in_flight(now) >= kStreamWindowPages)
      return;
    last_requested_ = id;
    if (auto& stream = streams_[id]; !stream.complete)
      request_pages(id, stream, now);
  }
}

/// All partitions, beginning behind the last one, so that one whose stores are silent does not hold up the others.
std::vector<PartitionId> PartitionStreams::in_rotation() const {
  std::vector<PartitionId> order;
  auto behind_last = streams_.upper_bound(last_requested_);
  for (auto stream = behind_last; stream != streams_.end(); ++stream)
    order.push_back(stream->first);
  for (auto stream = streams_.begin(); stream != behind_last; ++stream)
    order.push_back(stream->first);
  return order;
}

/// No more sources than a read quorum are read at a time, and of each source one page for all partitions.
void PartitionStreams::request_pages(PartitionId id, Stream& stream, TimePoint now) {
  auto& metadata = *metadata_log_.view();
  auto& partition = metadata.partitions[id.value()];
  size_t engaged = 0;
  for (auto& [source_id, source] : stream.sources)
    engaged += source.complete || source.in_flight(now);
  for (auto* daemon : preferred_sources(partition, stream)) {
    if (engaged >= metadata.read_quorum(partition.stores.size()) || pages_in_flight(now) >= kStreamWindowPages)
      return;
    auto& source = stream.sources[daemon->id];
    if (source.complete || is_sending(daemon->id, now))
      continue;
    request_page(id, stream, source, *daemon, now);
    ++engaged;
  }
}

/// Those that are up first, then those that have not been asked for the longest time.
std::vector<const Daemon*> PartitionStreams::preferred_sources(const Partition& partition, Stream& stream) const {
  std::vector<const Daemon*> sources;
  for (auto id : partition.stores)
    if (auto* daemon = metadata_log_.view()->find(id))
      sources.push_back(daemon);
  auto rank = [&](const Daemon* daemon) {
    bool is_down = daemon->state != DaemonState::up;
    return std::make_pair(is_down, stream.sources[daemon->id].requested_at);
  };
  std::stable_sort(sources.begin(), sources.end(), [&](auto* left, auto* right) { return rank(left) < rank(right); });
  return sources;
}

void PartitionStreams::request_page(PartitionId id, const Stream& stream, Source& source, const Daemon& daemon,
                                    TimePoint now) {
  source.requested_at = now;
  source.awaits_page = true;
  out_.send(daemon.self.address, StreamPartition{id, stream.sequence, source.last_history, source.last_tombstone},
            daemon.self.incarnation);
}

bool PartitionStreams::is_sending(DaemonId source, TimePoint now) const {
  return std::any_of(streams_.begin(), streams_.end(), [&](auto& entry) {
    auto& sources = entry.second.sources;
    auto found = sources.find(source);
    return found != sources.end() && found->second.in_flight(now);
  });
}

size_t PartitionStreams::pages_in_flight(TimePoint now) const {
  size_t pages = 0;
  for (auto& [id, stream] : streams_)
    for (auto& [source_id, source] : stream.sources)
      pages += source.in_flight(now);
  return pages;
}

void PartitionStreams::handle(const StreamPartition& request, const Envelope& envelope) {
  StreamPartitionReply page{
      request.partition, request.sequence, request.after, request.after_tombstone, {}, {}, {}, false};
  if (auto* stored = table_.find(request.partition)) {
    page.fence = stored->fence;
    add_histories(page, stored->histories);
    add_tombstones(page, stored->tombstones);
  }
  out_.send(envelope.from, page, envelope.from_incarnation);
}

bool PartitionStreams::handle(const StreamPartitionReply& page, const Envelope& envelope, TimePoint now) {
  auto found = streams_.find(page.partition);
  auto* sender = metadata_log_.view()->find(envelope.from_incarnation);
  if (found == streams_.end() || !sender)
    return false;
  auto& stream = found->second;
  auto* source = awaited_source(stream, page, sender->id);
  if (!source)
    return false;
  table_.merge({page.partition, page.fence, page.histories, page.tombstones});
  source->awaits_page = false;
  if (page.more) {
    if (!page.histories.empty())
      source->last_history = page.histories.back().history;
    if (!page.tombstones.empty())
      source->last_tombstone = page.tombstones.back();
    request_page(page.partition, stream, *source, *sender, now);
    return false;
  }
  source->complete = true;
  stream.complete = has_read_quorum(page.partition, stream);
  request_pages(now);
  return stream.complete;
}

PartitionStreams::Source* PartitionStreams::awaited_source(Stream& stream, const StreamPartitionReply& page,
                                                           DaemonId sender) const {
  if (stream.complete || stream.sequence != page.sequence)
    return nullptr;
  auto found = stream.sources.find(sender);
  if (found == stream.sources.end() || found->second.complete)
    return nullptr;
  auto& source = found->second;
  bool is_next_page = source.last_history == page.after && source.last_tombstone == page.after_tombstone;
  return is_next_page ? &source : nullptr;
}

bool PartitionStreams::has_read_quorum(PartitionId id, const Stream& stream) const {
  auto& metadata = *metadata_log_.view();
  auto complete =
      std::count_if(stream.sources.begin(), stream.sources.end(), [](auto& entry) { return entry.second.complete; });
  return static_cast<size_t>(complete) >= metadata.read_quorum(metadata.partitions[id.value()].stores.size());
}

Epoch PartitionStreams::completed_sequence() const {
  Epoch latest{0};
  for (auto& [id, stream] : streams_) {
    if (!stream.complete)
      return {};
    latest = std::max(latest, stream.sequence);
  }
  return latest;
}

}  // namespace mosskeel
