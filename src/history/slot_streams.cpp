#include "history/slot_streams.hpp"

#include <algorithm>

namespace mosskeel {
namespace {

bool among(const std::vector<DaemonId>& v, DaemonId id) {
  return std::count(v.begin(), v.end(), id) > 0;
}

}  // namespace

void SlotStreams::tick(Millis now) {
  auto* me = led_.view()->find(out_.id().self.inc);
  if (!me) return;
  follow_places(*me);
  ask_pages(now);
}

void SlotStreams::follow_places(const Daemon& me) {
  auto& m = *led_.view();
  for (uint32_t i = 0; i < m.slots.size(); ++i) {
    auto& slot = m.slots[i];
    if (!among(slot.pending, me.id) || among(slot.stores, me.id)) {
      streams_.erase(SlotId{i});
      continue;
    }
    auto& x = streams_[SlotId{i}];
    if (x.sequence != slot.changed) x = {slot.changed, {}, false};
    if (slot.stores.empty()) x.complete = true;
  }
}

/// In turns, so that a slot whose stores are silent does not hold up the others.
void SlotStreams::ask_pages(Millis now) {
  std::vector<SlotId> order;
  for (auto i = streams_.upper_bound(last_); i != streams_.end(); ++i) order.push_back(i->first);
  for (auto i = streams_.begin(); i != streams_.end() && i->first <= last_; ++i) order.push_back(i->first);
  for (auto id : order) {
    if (under_way(now) >= limits::stream_pages) return;
    last_ = id;
    if (auto& x = streams_[id]; !x.complete) ask_slot(id, x, now);
  }
}

/// Those that are up first, then those that have not been asked for the longest time.
std::vector<const Daemon*> SlotStreams::by_promise(const Slot& slot, Streaming& x) const {
  std::vector<const Daemon*> v;
  for (auto id : slot.stores)
    if (auto* d = led_.view()->find(id)) v.push_back(d);
  auto key = [&](const Daemon* d) { return std::make_pair(d->state != DaemonState::up, x.sources[d->id].asked); };
  std::stable_sort(v.begin(), v.end(), [&](auto* a, auto* b) { return key(a) < key(b); });
  return v;
}

/// No more sources than a read quorum are read at a time, and of each source one page for all slots.
void SlotStreams::ask_slot(SlotId id, Streaming& x, Millis now) {
  auto& slot = led_.view()->slots[id.v];
  size_t engaged = 0;
  for (auto& [source_id, source] : x.sources) engaged += source.done || source.busy(now);
  for (auto* d : by_promise(slot, x)) {
    if (engaged >= led_.view()->read_quorum(slot.stores.size()) || under_way(now) >= limits::stream_pages) return;
    auto& source = x.sources[d->id];
    if (source.done || asks(d->id, now)) continue;
    ask(id, x, source, *d, now);
    ++engaged;
  }
}

void SlotStreams::ask(SlotId id, const Streaming& x, Source& source, const Daemon& d, Millis now) {
  source.asked = now;
  source.waiting = true;
  out_.send(d.self.addr, SlotStream{id, x.sequence, source.line, source.tombstone}, d.self.inc);
}

bool SlotStreams::asks(DaemonId source, Millis now) const {
  return std::any_of(streams_.begin(), streams_.end(), [&](auto& s) {
    auto i = s.second.sources.find(source);
    return i != s.second.sources.end() && i->second.busy(now);
  });
}

size_t SlotStreams::under_way(Millis now) const {
  size_t n = 0;
  for (auto& [id, x] : streams_)
    for (auto& [source_id, source] : x.sources) n += source.busy(now);
  return n;
}

bool SlotStreams::on(const Envelope& e, const SlotStreamReply& r, Millis now) {
  auto i = streams_.find(r.slot);
  auto* d = led_.view()->find(e.from_inc);
  if (i == streams_.end() || i->second.sequence != r.sequence || !d || i->second.complete) return false;
  auto& x = i->second;
  auto at = x.sources.find(d->id);
  if (at == x.sources.end() || at->second.done) return false;
  auto& source = at->second;
  if (source.line != r.after || source.tombstone != r.tombstone) return false;
  take({r.slot, r.fence, r.lines, r.tombstones});
  source.waiting = false;
  if (r.more) {
    if (!r.lines.empty()) source.line = r.lines.back().line;
    if (!r.tombstones.empty()) source.tombstone = r.tombstones.back();
    ask(r.slot, x, source, *d, now);
    return false;
  }
  source.done = true;
  auto done = std::count_if(x.sources.begin(), x.sources.end(), [](auto& s) { return s.second.done; });
  x.complete = static_cast<size_t>(done) >= led_.view()->read_quorum(led_.view()->slots[r.slot.v].stores.size());
  ask_pages(now);
  return x.complete;
}

Epoch SlotStreams::complete() const {
  Epoch e{0};
  for (auto& [id, x] : streams_) {
    if (!x.complete) return {};
    e = std::max(e, x.sequence);
  }
  return e;
}

}  // namespace mosskeel
