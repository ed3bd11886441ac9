#include "history/partition_streams.hpp"

#include <algorithm>

#include "history/constants.hpp"
#include "history/partition_lookup.hpp"
#include "history/record_bytes.hpp"

namespace mosskeel {
namespace {

/// The first history after `after`; the first one of all if `after` is empty.
Histories::const_iterator first_after(const Histories& histories, const HistoryName& after) {
  return after.program.empty() ? histories.begin() : histories.upper_bound(after);
}

/// Adds the histories after the requested one, until the page is full or a large one follows.
void add_histories(StreamPartitionReply& page, const Histories& histories) {
  size_t bytes = 0;
  for (auto next = first_after(histories, page.after); next != histories.end(); ++next) {
    auto& [name, history] = *next;
    if (bytes > kStreamPageBytes || is_large(history.records)) {
      page.more = true;
      return;
    }
    bytes += bytes_of(history.records);
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
  advance_download(now);
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
  for (auto id : round_robin_order()) {
    if (pages_in_flight(now) >= kStreamWindowPages)
      return;
    last_requested_ = id;
    if (auto& stream = streams_[id]; !stream.complete)
      request_pages(id, stream, now);
  }
}

/// All streams, starting after the last partition requested, so that a partition whose stores do not answer does not
/// block the others.
std::vector<PartitionId> PartitionStreams::round_robin_order() const {
  std::vector<PartitionId> order;
  auto after_last = streams_.upper_bound(last_requested_);
  for (auto stream = after_last; stream != streams_.end(); ++stream)
    order.push_back(stream->first);
  for (auto stream = streams_.begin(); stream != after_last; ++stream)
    order.push_back(stream->first);
  return order;
}

/// At most a read quorum of sources is read at a time, and each source sends one page at a time over all partitions.
void PartitionStreams::request_pages(PartitionId id, Stream& stream, TimePoint now) {
  auto& metadata = *metadata_log_.view();
  auto& partition = metadata.partitions[id.value()];
  size_t active_sources = 0;
  for (auto& [source_id, source] : stream.sources)
    active_sources += source.complete || source.in_flight(now);
  for (auto* daemon : preferred_sources(partition, stream)) {
    if (active_sources >= metadata.read_quorum(partition.stores.size()) || pages_in_flight(now) >= kStreamWindowPages)
      return;
    auto& source = stream.sources[daemon->id];
    if (source.complete || is_sending(daemon->id, now))
      continue;
    request_page(id, stream, source, *daemon, now);
    ++active_sources;
  }
}

/// Stores that are up come first; among equals, the least recently asked.
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
  if (auto large = next_large_history(request))
    return out_.send(envelope.from, std::move(*large), envelope.from_incarnation);
  StreamPartitionReply page{
      request.partition, request.sequence, request.after, request.after_tombstone, {}, {}, {}, false};
  if (auto* stored = table_.find(request.partition)) {
    page.fence = stored->fence;
    add_histories(page, stored->histories);
    add_tombstones(page, stored->tombstones);
  }
  out_.send(envelope.from, page, envelope.from_incarnation);
}

std::optional<StreamLargeHistory> PartitionStreams::next_large_history(const StreamPartition& request) const {
  auto* stored = table_.find(request.partition);
  if (!stored)
    return std::nullopt;
  auto next = first_after(stored->histories, request.after);
  if (next == stored->histories.end() || !is_large(next->second.records))
    return std::nullopt;
  auto& [name, history] = *next;
  HistorySummary summary{name, history.term, history.records.size()};
  return StreamLargeHistory{request.partition,       request.sequence, request.after,
                            request.after_tombstone, stored->fence,    std::move(summary)};
}

/// One large history is downloaded at a time; the source of another one is asked again after its time-out.
void PartitionStreams::handle(const StreamLargeHistory& page, const Envelope& envelope, TimePoint now) {
  auto* sender = metadata_log_.view()->find(envelope.from_incarnation);
  auto* source = sender ? awaited_source(page, sender->id) : nullptr;
  if (!source)
    return;
  table_.merge({page.partition, page.fence, {}, {}});
  if (table_.is_up_to_date(page.partition, page.next)) {
    source->last_history = page.next.history;
    return request_page(page.partition, streams_[page.partition], *source, *sender, now);
  }
  if (download_)
    return;
  source->requested_at = now;
  HistoryDownload pages(out_, page.next.history, page.partition, version_of(page.next), sender->self.address,
                        sender->self.incarnation, now);
  download_ = Download{page.sequence, sender->id, std::move(pages)};
}

void PartitionStreams::handle(const ReadRecordsReply& page, const Envelope& envelope, TimePoint now) {
  if (download_ && download_->pages.handle(out_, page, envelope, now))
    advance_download(now);
}

void PartitionStreams::advance_download(TimePoint now) {
  if (!download_)
    return;
  auto& pages = download_->pages;
  pages.tick(out_, now);
  auto stream = streams_.find(pages.partition());
  bool is_wanted = stream != streams_.end() && stream->second.sequence == download_->sequence;
  if (!is_wanted || pages.state() == HistoryDownload::State::failed)
    return download_.reset();
  auto& source = stream->second.sources[download_->source];
  // While records arrive, the source counts as having a page in flight.
  source.requested_at = pages.last_progress_at();
  if (pages.state() == HistoryDownload::State::reading)
    return;
  auto ended = std::move(*std::exchange(download_, std::nullopt));
  HistoryCopy copy{ended.pages.history(), ended.pages.version().term, ended.pages.take_records()};
  source.last_history = copy.history;
  source.awaits_page = false;
  auto partition = ended.pages.partition();
  std::vector<HistoryCopy> copies;
  copies.push_back(std::move(copy));
  table_.merge({partition, {}, std::move(copies), {}});
  if (auto* sender = metadata_log_.view()->find(ended.source))
    request_page(partition, stream->second, source, *sender, now);
}

bool PartitionStreams::handle(const StreamPartitionReply& page, const Envelope& envelope, TimePoint now) {
  auto* sender = metadata_log_.view()->find(envelope.from_incarnation);
  auto* source = sender ? awaited_source(page, sender->id) : nullptr;
  if (!source)
    return false;
  auto& stream = streams_[page.partition];
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
