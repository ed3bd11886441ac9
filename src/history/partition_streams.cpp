#include "history/partition_streams.hpp"
#include "history/constants.hpp"

#include <algorithm>

namespace mosskeel {
namespace {

bool among(const std::vector<DaemonId>& v, DaemonId id) {
  return std::count(v.begin(), v.end(), id) > 0;
}

}  // namespace

void PartitionStreams::tick(Millis now) {
  auto* me = metadata_log_.view()->find(out_.id().self.incarnation);
  if (!me)
    return;
  follow_places(*me);
  ask_pages(now);
}

void PartitionStreams::follow_places(const Daemon& me) {
  auto& m = *metadata_log_.view();
  for (uint32_t i = 0; i < m.partitions.size(); ++i) {
    auto& partition = m.partitions[i];
    if (!among(partition.pending_stores, me.id) || among(partition.stores, me.id)) {
      streams_.erase(PartitionId{i});
      continue;
    }
    auto& x = streams_[PartitionId{i}];
    if (x.sequence != partition.stores_epoch)
      x = {partition.stores_epoch, {}, false};
    if (partition.stores.empty())
      x.complete = true;
  }
}

/// In turns, so that a partition whose stores are silent does not hold up the others.
void PartitionStreams::ask_pages(Millis now) {
  std::vector<PartitionId> order;
  for (auto i = streams_.upper_bound(last_); i != streams_.end(); ++i)
    order.push_back(i->first);
  for (auto i = streams_.begin(); i != streams_.end() && i->first <= last_; ++i)
    order.push_back(i->first);
  for (auto id : order) {
    if (under_way(now) >= kTransferWindowPages)
      return;
    last_ = id;
    if (auto& x = streams_[id]; !x.complete)
      ask_slot(id, x, now);
  }
}

/// Those that are up first, then those that have not been asked for the longest time.
std::vector<const Daemon*> PartitionStreams::by_promise(const Partition& partition, Streaming& x) const {
  std::vector<const Daemon*> v;
  for (auto id : partition.stores)
    if (auto* d = metadata_log_.view()->find(id))
      v.push_back(d);
  auto key = [&](const Daemon* d) {
    return std::make_pair(d->state != DaemonState::up, x.sources[d->id].asked);
  };
  std::stable_sort(v.begin(), v.end(), [&](auto* a, auto* b) { return key(a) < key(b); });
  return v;
}

/// No more sources than a read quorum are read at a time, and of each source one page for all partitions.
void PartitionStreams::ask_slot(PartitionId id, Streaming& x, Millis now) {
  auto& partition = metadata_log_.view()->partitions[id.value()];
  size_t engaged = 0;
  for (auto& [source_id, source] : x.sources)
    engaged += source.done || source.busy(now);
  for (auto* d : by_promise(partition, x)) {
    if (engaged >= metadata_log_.view()->read_quorum(partition.stores.size()) || under_way(now) >= kTransferWindowPages)
      return;
    auto& source = x.sources[d->id];
    if (source.done || asks(d->id, now))
      continue;
    ask(id, x, source, *d, now);
    ++engaged;
  }
}

void PartitionStreams::ask(PartitionId id, const Streaming& x, Source& source, const Daemon& d, Millis now) {
  source.asked = now;
  source.waiting = true;
  out_.send(d.self.address, StreamPartition{id, x.sequence, source.history, source.tombstone}, d.self.incarnation);
}

bool PartitionStreams::asks(DaemonId source, Millis now) const {
  return std::any_of(streams_.begin(), streams_.end(), [&](auto& s) {
    auto i = s.second.sources.find(source);
    return i != s.second.sources.end() && i->second.busy(now);
  });
}

size_t PartitionStreams::under_way(Millis now) const {
  size_t n = 0;
  for (auto& [id, x] : streams_)
    for (auto& [source_id, source] : x.sources)
      n += source.busy(now);
  return n;
}

bool PartitionStreams::on(const Envelope& e, const StreamPartitionReply& r, Millis now) {
  auto i = streams_.find(r.partition);
  auto* d = metadata_log_.view()->find(e.from_inc);
  if (i == streams_.end() || i->second.sequence != r.sequence || !d || i->second.complete)
    return false;
  auto& x = i->second;
  auto at = x.sources.find(d->id);
  if (at == x.sources.end() || at->second.done)
    return false;
  auto& source = at->second;
  if (source.history != r.after || source.tombstone != r.tombstone)
    return false;
  take({r.partition, r.fence, r.histories, r.tombstones});
  source.waiting = false;
  if (r.more) {
    if (!r.histories.empty())
      source.history = r.histories.back().history;
    if (!r.tombstones.empty())
      source.tombstone = r.tombstones.back();
    ask(r.partition, x, source, *d, now);
    return false;
  }
  source.done = true;
  auto done = std::count_if(x.sources.begin(), x.sources.end(), [](auto& s) { return s.second.done; });
  x.complete = static_cast<size_t>(done) >=
               metadata_log_.view()->read_quorum(metadata_log_.view()->partitions[r.partition.value()].stores.size());
  ask_pages(now);
  return x.complete;
}

Epoch PartitionStreams::complete() const {
  Epoch e{0};
  for (auto& [id, x] : streams_) {
    if (!x.complete)
      return {};
    e = std::max(e, x.sequence);
  }
  return e;
}

}  // namespace mosskeel
