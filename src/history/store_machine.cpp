#include "history/store_machine.hpp"

#include <algorithm>

namespace mosskeel {

StoreMachine::StoreMachine(const Identity& id, const Recovered& r, Millis now)
    : out_(id), fol_(out_, led_, now), rep_(out_, led_, slots_), born_(now), now_(now) {
  rep_.take = [this](const StreamRecord& q) {
    merge(slots_[q.slot], q);
    journal(q);
  };
  rep_.uptime = [this] { return uptime(); };
  if (r.checkpoint)
    if (auto c = codec::unpack<StoreCheckpoint>(*r.checkpoint)) {
      led_.jump(c->metadata);
      slots_ = std::move(c->slots);
      before_ = c->uptime;
    }
  for (auto& s : r.journal) {
    auto x = codec::unpack<StoreRecord>(s);
    if (!x) continue;
    std::visit(overload{[&](const Fence& f) { slots_[f.slot].fence = std::max(slots_[f.slot].fence, f.term); },
                        [&](const LineWrite& w) { write(slots_[w.slot], w); },
                        [&](const StreamRecord& q) { merge(slots_[q.slot], q); },
                        [&](const BuryRecord& b) { bury(slots_[b.slot], b.line); },
                        [&](const Entry& e) { led_.add(e); }, [&](const Metadata& m) { led_.jump(m); }},
               *x);
  }
  out_.cluster = led_.view()->cluster;
  out_.epoch = led_.epoch();
  fol_.durable();
  fol_.on_entry = [this](const Entry& e) { journal(e); };
  fol_.on_jump = [this](const Metadata& m) { journal(m); };
}

std::string StoreMachine::checkpoint() const {
  return codec::pack(StoreCheckpoint{*led_.view(), slots_, uptime()});
}

Actions StoreMachine::done() {
  for (auto& s : out_.act.journal) grown_ += s.size();
  if (grown_ > limits::checkpoint_bytes) {
    out_.act.checkpoint = checkpoint();
    grown_ = 0;
  }
  return out_.take();
}

bool StoreMachine::placed(const Envelope& e, SlotId s) const {
  auto& m = *led_.view();
  auto* me = m.find(out_.id().self.inc);
  auto* you = m.find(e.from_inc);
  if (!me || !you || s.v >= m.slots.size()) return false;
  auto& x = m.slots[s.v];
  auto in = [&](auto& v) { return std::count(v.begin(), v.end(), me->id) > 0; };
  return e.epoch >= std::max(x.term, x.changed) && x.owner == you->id && (in(x.stores) || in(x.pending));
}

bool StoreMachine::fence(SlotId s, Epoch term) {
  auto& x = slots_[s];
  if (term < x.fence) return false;
  if (term > x.fence) {
    x.fence = term;
    journal(Fence{s, term});
  }
  return true;
}

void StoreMachine::on(const Envelope& e, const LineRead& r) {
  bool yes = placed(e, r.slot) && fence(r.slot, r.term);
  auto& s = slots_[r.slot];
  LineReadReply a{r.line, r.term, yes, {}, s.tombstones.has(tombstone_of(r.line)), {}};
  if (auto i = s.lines.find(r.line); yes && i != s.lines.end())
    a.line_term = i->second.term, a.records = i->second.records;
  out_.send_synced(e.from, a, e.from_inc);
}

LineWriteReply StoreMachine::write(SlotStore& s, const LineWrite& w) {
  s.fence = std::max(s.fence, w.term);
  if (s.tombstones.has(tombstone_of(w.line))) return {w.line, w.term, false, false, 0};
  auto i = s.lines.find(w.line);
  if (w.adopt) {
    auto& l = s.lines[w.line];
    if (l.term > w.term) return {w.line, w.term, false, false, 0};
    if (l.term < w.term || w.records.size() >= l.records.size())
      l = {w.term, w.records, l.records.size() == w.records.size() ? l.touched : uptime()};
    return {w.line, w.term, true, false, l.records.size()};
  }
  if (i == s.lines.end() || i->second.term != w.term || i->second.records.size() < w.from)
    return {w.line, w.term, true, true, 0};
  auto& v = i->second.records;
  size_t have = v.size() - w.from;
  for (size_t k = have; k < w.records.size(); ++k) v.push_back(w.records[k]);
  i->second.touched = uptime();
  return {w.line, w.term, true, false, v.size()};
}

void StoreMachine::on(const Envelope& e, const LineWrite& w) {
  if (!placed(e, w.slot) || slots_[w.slot].fence > w.term) {
    out_.send(e.from, LineWriteReply{w.line, w.term, false, false, 0}, e.from_inc);
    return;
  }
  auto r = write(slots_[w.slot], w);
  if (r.granted && !r.gap) journal(w);
  out_.send_synced(e.from, r, e.from_inc);
}

void StoreMachine::on(const Envelope& e, const SlotStream& q) {
  SlotStreamReply r{q.slot, q.sequence, q.after, q.tombstone, {}, {}, {}, false};
  if (auto i = slots_.find(q.slot); i != slots_.end()) {
    r.fence = i->second.fence;
    size_t bytes = 0;
    auto j = q.after.program.empty() ? i->second.lines.begin() : i->second.lines.upper_bound(q.after);
    for (; j != i->second.lines.end(); ++j) {
      if (bytes > limits::body_bytes / 4) {
        r.more = true;
        break;
      }
      for (auto& x : j->second.records) bytes += x.input.size() + x.output.size() + 128;
      r.lines.push_back({j->first, j->second.term, j->second.records});
    }
    r.tombstones = i->second.tombstones.above(q.tombstone, limits::tombstones_page);
    r.more = r.more || r.tombstones.size() == limits::tombstones_page;
  }
  out_.send(e.from, r, e.from_inc);
}

void StoreMachine::merge(SlotStore& s, const StreamRecord& r) {
  s.fence = std::max(s.fence, r.fence);
  for (auto g : r.tombstones) s.tombstones.add(g);
  if (!r.tombstones.empty()) std::erase_if(s.lines, [&](auto& l) { return s.tombstones.has(tombstone_of(l.first)); });
  for (auto& l : r.lines) {
    if (s.tombstones.has(tombstone_of(l.line))) continue;
    auto& mine = s.lines[l.line];
    if (std::make_pair(mine.term, mine.records.size()) < std::make_pair(l.line_term, l.records.size()))
      mine = {l.line_term, l.records, uptime()};
  }
}

void StoreMachine::on(const Envelope& e, const SlotStreamReply& r, Millis now) {
  auto i = streams_.find(r.slot);
  auto* d = led_.view()->find(e.from_inc);
  if (i == streams_.end() || i->second.sequence != r.sequence || !d || i->second.complete) return;
  auto& x = i->second;
  auto at = x.at.find(d->id);
  if (at == x.at.end() || at->second.line != r.after || at->second.tombstone != r.tombstone || x.done.count(d->id))
    return;
  StreamRecord q{r.slot, r.fence, r.lines, r.tombstones};
  merge(slots_[r.slot], q);
  journal(q);
  if (r.more) {
    if (!r.lines.empty()) at->second.line = r.lines.back().line;
    if (!r.tombstones.empty()) at->second.tombstone = r.tombstones.back();
    out_.send(e.from, SlotStream{r.slot, r.sequence, at->second.line, at->second.tombstone});
    return;
  }
  x.done.insert(d->id);
  auto& s = led_.view()->slots[r.slot.v];
  x.complete = x.done.size() >= led_.view()->read_quorum(s.stores.size());
  if (x.complete && streamed() >= r.sequence) {
    out_.note(Event::streamed, "sequence of epoch " + std::to_string(r.sequence.v));
    fol_.hurry();
  }
  x.last = now;
}

void StoreMachine::stream(Millis now) {
  auto& m = *led_.view();
  auto* me = m.find(out_.id().self.inc);
  if (!me) return;
  for (uint32_t i = 0; i < m.slots.size(); ++i) {
    auto& s = m.slots[i];
    SlotId id{i};
    bool in = std::count(s.pending.begin(), s.pending.end(), me->id),
         old = std::count(s.stores.begin(), s.stores.end(), me->id);
    if (!in || old) {
      streams_.erase(id);
      continue;
    }
    auto& x = streams_[id];
    if (x.sequence != s.changed) x = {s.changed, {}, {}, 0, false};
    if (s.stores.empty()) x.complete = true;
    if (x.complete || now - x.last < limits::line_retry) continue;
    x.last = now;
    for (auto r : s.stores)
      if (auto* d = m.find(r); d && !x.done.count(r))
        out_.send(d->self.addr, SlotStream{id, x.sequence, x.at[r].line, x.at[r].tombstone}, d->self.inc);
  }
}

Epoch StoreMachine::streamed() const {
  Epoch e{0};
  for (auto& [id, x] : streams_) {
    if (!x.complete) return {};
    e = std::max(e, x.sequence);
  }
  return e;
}

void StoreMachine::handle(const Envelope& e, Millis now) {
  if (fol_.handle(e, now)) return;
  if (fol_.park(e)) return;
  if (rep_.on(e, now)) return;
  std::visit(overload{[&](const LineRead& r) { on(e, r); }, [&](const LineWrite& w) { on(e, w); },
                      [&](const LineBury& b) { on(e, b); }, [&](const SlotStream& q) { on(e, q); },
                      [&](const SlotStreamReply& r) { on(e, r, now); }, [&](const ChainFind& f) { on(e, f); },
                      [&](const auto&) {}},
             e.body);
}

Actions StoreMachine::step(const Envelope& e, Millis now) {
  now_ = now;
  if (fol_.foreign(e)) {
    out_.note(Event::foreign, "from " + e.from);
    return done();
  }
  auto before = led_.epoch();
  handle(e, now);
  if (led_.epoch() != before) {
    for (auto& p : fol_.unpark()) handle(p, now);
    turn(now);
  }
  return done();
}

Actions StoreMachine::tick(Millis now) {
  now_ = now;
  turn(now);
  return done();
}

void StoreMachine::turn(Millis now) {
  stream(now);
  if (now >= next_expire_) expire(now);
  rep_.tick(now);
  Heartbeat h{out_.id().self, {}, 0, streamed(), 0, 0, false, rep_.lacking()};
  fol_.tick(now, &h);
}

}  // namespace mosskeel
