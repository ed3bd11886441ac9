#include "history/history_writer.hpp"

#include <algorithm>

namespace mosskeel {

bool HistoryWriter::mine(SlotId s) const {
  auto& m = *led_.view();
  if (s.v >= m.slots.size()) return false;
  auto* d = m.find(m.slots[s.v].owner);
  return d && d->self.inc == out_.id().self.inc;
}

std::vector<const Daemon*> HistoryWriter::targets(const Held& h) const {
  auto& m = *led_.view();
  auto& s = m.slots[h.slot.v];
  std::set<DaemonId> ids(s.stores.begin(), s.stores.end());
  ids.insert(s.pending.begin(), s.pending.end());
  std::vector<const Daemon*> v;
  for (auto id : ids)
    if (auto* d = m.find(id); d && d->state != DaemonState::left && !m.evacuated.count(d->self.zone)) v.push_back(d);
  return v;
}

/// A read quorum of the set in force, or a write quorum of both sets while places move.
bool HistoryWriter::enough(const Held& h, const std::function<bool(DaemonId)>& has) const {
  auto& metadata = *led_.view();
  auto& slot = metadata.slots[h.slot.v];
  auto count = [&](const std::vector<DaemonId>& set) {
    return static_cast<size_t>(std::count_if(set.begin(), set.end(), has));
  };
  auto written = [&](const std::vector<DaemonId>& set) { return count(set) >= metadata.write_quorum(set.size()); };
  auto size = slot.stores.size();
  if (h.reading) return size >= metadata.write_quorum(size) && count(slot.stores) >= metadata.read_quorum(size);
  return written(slot.stores) && (slot.pending.empty() || written(slot.pending));
}

/// What a store said before it knew of the set in force is no word on what it holds as a member of that set.
bool HistoryWriter::has_read(const Held& h, const Peer& p) const {
  return p.read && p.read_at >= led_.view()->slots[h.slot.v].changed;
}

HistoryWriter::State HistoryWriter::open(const LineName& n, Millis now) {
  auto slot = slot_of(n.cell, n.program);
  if (!mine(slot)) return State::fenced;
  auto term = led_.view()->slots[slot.v].term;
  auto i = lines_.find(n);
  if (i != lines_.end() && i->second.term != term) {
    lines_.erase(i);
    i = lines_.end();
  }
  if (i == lines_.end()) {
    i = lines_.emplace(n, Held{}).first;
    i->second.slot = slot;
    i->second.term = term;
    i->second.since = now;
    pump(n, i->second, now, false);
  }
  i->second.used = now;
  auto& h = i->second;
  if (h.state == State::opening && now - h.since > limits::line_patience) {
    if (h.reading) lines_.erase(i);
    return State::unavailable;
  }
  return h.state;
}

const Records& HistoryWriter::records(const LineName& n) const {
  static const Records none;
  auto i = lines_.find(n);
  return i == lines_.end() ? none : i->second.records;
}

uint64_t HistoryWriter::committed(const LineName& n) const {
  auto i = lines_.find(n);
  return i == lines_.end() ? 0 : i->second.committed;
}

bool HistoryWriter::kept(const LineName& n, const Record& r) const {
  return static_cast<uint64_t>(&r - records(n).data()) < committed(n);
}

Epoch HistoryWriter::term(const LineName& n) const {
  auto i = lines_.find(n);
  return i == lines_.end() ? Epoch{} : i->second.term;
}

bool HistoryWriter::ended(const LineName& n) const {
  auto i = lines_.find(n);
  if (i == lines_.end()) return false;
  auto& v = i->second.records;
  return i->second.buried || (!v.empty() && v.back().kind == RecordKind::ended);
}

bool HistoryWriter::agreed(const LineName& n, const std::function<bool(DaemonId)>& has) const {
  auto i = lines_.find(n);
  return i != lines_.end() && enough(i->second, has);
}

uint64_t HistoryWriter::append(const LineName& n, Record r, Millis now) {
  auto i = lines_.find(n);
  if (i == lines_.end()) return 0;
  i->second.records.push_back(std::move(r));
  pump(n, i->second, now, false);
  return i->second.records.size();
}

void HistoryWriter::pump(const LineName& n, Held& h, Millis now, bool retry) {
  if (h.state == State::fenced) return;
  for (auto* d : targets(h)) {
    auto& p = h.peers[d->id];
    if (auto& inc = h.incs[d->id]; inc != d->self.inc) {
      p = {};
      inc = d->self.inc;
    }
    bool due = p.last == 0 || (retry && now - p.last >= limits::line_retry);
    if (h.reading) {
      if (has_read(h, p) || !due) continue;
      out_.send(d->self.addr, LineRead{n, h.slot, h.term}, d->self.inc);
    } else if (!p.adopted) {
      if (!due || h.records.empty()) continue;
      p.sent = h.records.size();
      out_.send(d->self.addr, LineWrite{n, h.slot, h.term, true, 0, h.records}, d->self.inc);
    } else {
      if (retry && p.acked < h.records.size() && now - p.last >= limits::line_retry) p.sent = p.acked;
      if (p.sent >= h.records.size()) continue;
      Records v(h.records.begin() + static_cast<ptrdiff_t>(p.sent), h.records.end());
      out_.send(d->self.addr, LineWrite{n, h.slot, h.term, false, p.sent, std::move(v)}, d->self.inc);
      p.sent = h.records.size();
    }
    p.last = now;
  }
}

void HistoryWriter::settle(const LineName& n, Held& h, Millis now) {
  if (h.reading) {
    if (!enough(h, [&](DaemonId id) { return h.peers.count(id) && has_read(h, h.peers[id]); })) return;
    h.reading = false;
    for (auto& [id, p] : h.peers) p.last = 0, p.adopted = false;
    if (h.buried) h.records.clear();
    if (h.records.empty()) {
      h.state = State::open;
      changed_.insert(n);
    }
    pump(n, h, now, false);
    return;
  }
  auto before = h.committed;
  std::vector<uint64_t> marks;
  for (auto& [id, p] : h.peers)
    if (p.adopted) marks.push_back(p.acked);
  std::sort(marks.rbegin(), marks.rend());
  for (auto k : marks) {
    if (k < h.committed || (k == h.committed && h.state == State::open)) break;
    if (!enough(h, [&](DaemonId id) { return h.peers.count(id) && h.peers[id].adopted && h.peers[id].acked >= k; }))
      continue;
    h.committed = k;
    break;
  }
  if (h.state == State::opening && h.committed >= h.records.size() &&
      enough(h, [&](DaemonId id) { return h.peers.count(id) && h.peers[id].adopted; })) {
    h.state = State::open;
    changed_.insert(n);
  }
  if (h.committed != before) changed_.insert(n);
}

bool HistoryWriter::on(const Envelope& e, Millis now) {
  if (auto* r = std::get_if<LineReadReply>(&e.body)) {
    auto i = lines_.find(r->line);
    auto* d = led_.view()->find(e.from_inc);
    if (i == lines_.end() || i->second.term != r->term || !d) return true;
    auto& h = i->second;
    if (!r->granted || !h.reading) return true;
    auto& p = h.peers[d->id];
    p.read = true;
    p.read_at = std::max(p.read_at, e.epoch);
    h.buried = h.buried || r->buried;
    if (std::make_pair(h.best_term, h.records.size()) < std::make_pair(r->line_term, r->records.size())) {
      h.best_term = r->line_term;
      h.records = r->records;
    }
    settle(r->line, h, now);
    return true;
  }
  if (auto* r = std::get_if<LineWriteReply>(&e.body)) {
    auto i = lines_.find(r->line);
    auto* d = led_.view()->find(e.from_inc);
    if (i == lines_.end() || i->second.term != r->term || !d) return true;
    auto& h = i->second;
    auto& p = h.peers[d->id];
    if (!r->granted) return true;
    if (r->gap) {
      p.adopted = false;
      p.last = 0;
      pump(r->line, h, now, false);
      return true;
    }
    p.adopted = true;
    p.acked = std::max(p.acked, r->length);
    settle(r->line, h, now);
    if (h.state == State::open) pump(r->line, h, now, false);
    return true;
  }
  return false;
}

void HistoryWriter::tick(Millis now) {
  for (auto i = lines_.begin(); i != lines_.end();) {
    auto& [n, h] = *i;
    if (!mine(h.slot) || led_.view()->slots[h.slot.v].term != h.term) {
      changed_.insert(n);
      i = lines_.erase(i);
      continue;
    }
    if (h.state == State::opening || h.committed < h.records.size()) {
      settle(n, h, now);
      pump(n, h, now, true);
    } else if (now - h.used > limits::line_idle) {
      i = lines_.erase(i);
      continue;
    }
    ++i;
  }
}

}  // namespace mosskeel
