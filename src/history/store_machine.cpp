#include "history/store_machine.hpp"

#include <algorithm>

#include "history/history_limits.hpp"

namespace mosskeel {

StoreMachine::StoreMachine(const Identity& id, Recovered r, Millis now)
    : out_(id), fol_(out_, led_, now), rep_(out_, led_, slots_), streams_(out_, led_), born_(now), now_(now) {
  rep_.take = streams_.take = [this](const StreamRecord& q) {
    auto news = merge(slots_[q.slot], q);
    if (news.fence != Epoch{} || !news.lines.empty() || !news.tombstones.empty()) journal(news);
  };
  rep_.uptime = [this] { return uptime(); };
  if (r.checkpoint) recover(std::move(*r.checkpoint));
  for (auto& s : r.journal) {
    grown_ += s.size();
    if (auto x = codec::unpack<StoreRecord>(s)) replay(*x);
    s = {};
  }
  out_.cluster = led_.view()->cluster;
  out_.epoch = led_.epoch();
  fol_.durable();
  fol_.on_entry = [this](const Entry& e) { journal(e); };
  fol_.on_jump = [this](const Metadata& m) { journal(m); };
}

/// Reads the form of `StoreCheckpoint` slot by slot, so that no more than one slot is in memory twice.
void StoreMachine::recover(std::string checkpoint) {
  codec::Reader r{checkpoint};
  Metadata metadata;
  SlotStores slots;
  uint32_t count = 0;
  bool whole = codec::get(r, metadata) && codec::get(r, count);
  for (; whole && count; --count) {
    SlotId id;
    whole = codec::get(r, id) && codec::get(r, slots[id]);
  }
  Millis uptime = 0;
  if (!whole || !codec::get(r, uptime) || !r.s.empty()) return;
  led_.jump(metadata);
  slots_ = std::move(slots);
  before_ = uptime;
  checkpoint_size_ = checkpoint.size();
}

void StoreMachine::replay(const StoreRecord& r) {
  std::visit(overload{[&](const Fence& f) { slots_[f.slot].fence = std::max(slots_[f.slot].fence, f.term); },
                      [&](const LineWrite& w) { write(slots_[w.slot], w); },
                      [&](const StreamRecord& q) { merge(slots_[q.slot], q); },
                      [&](const BuryRecord& b) { bury(slots_[b.slot], b.line); }, [&](const Entry& e) { led_.add(e); },
                      [&](const Metadata& m) { led_.jump(m); },
                      [&](const AdoptRecord& a) {
                        auto& s = slots_[a.slot];
                        auto& l = s.lines[a.line];
                        s.fence = std::max(s.fence, a.term);
                        l.term = std::max(l.term, a.term);
                      },
                      [&](const DropRecord& d) { slots_[d.slot].lines.clear(); }},
             r);
}

std::string StoreMachine::checkpoint() const {
  std::string s;
  s.reserve(checkpoint_size_ + grown_ + limits::segment_bytes / 16);
  codec::put(s, *led_.view());
  codec::put(s, slots_);
  codec::put(s, uptime());
  checkpoint_size_ = s.size();
  return s;
}

/// As long as the last checkpoint, so that a checkpoint is written for as many bytes of journal, and a start reads
/// no more than twice the state.
size_t StoreMachine::journal_limit() const {
  return std::clamp(checkpoint_size_, limits::store_journal_least, limits::checkpoint_bytes);
}

Actions StoreMachine::done() {
  for (auto& s : out_.act.journal) grown_ += s.size();
  if (grown_ > journal_limit()) {
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

StoreMachine::Written StoreMachine::adopt(SlotStore& s, const LineWrite& w) {
  auto& l = s.lines[w.line];
  if (l.term > w.term) return {{w.line, w.term, false, false, 0}};
  auto change = Change::nothing;
  if (l.records == w.records) {
    if (l.term < w.term) change = Change::term;
    l.term = w.term;
  } else if (l.term < w.term || w.records.size() >= l.records.size()) {
    change = Change::records;
    l = {w.term, w.records, l.records.size() == w.records.size() ? l.touched : uptime()};
  }
  return {{w.line, w.term, true, false, l.records.size()}, change};
}

StoreMachine::Written StoreMachine::write(SlotStore& s, const LineWrite& w) {
  s.fence = std::max(s.fence, w.term);
  if (s.tombstones.has(tombstone_of(w.line))) return {{w.line, w.term, false, false, 0}};
  if (w.adopt) return adopt(s, w);
  auto i = s.lines.find(w.line);
  if (i == s.lines.end() || i->second.term != w.term || i->second.records.size() < w.from)
    return {{w.line, w.term, true, true, 0}};
  auto& v = i->second.records;
  size_t have = v.size() - w.from;
  auto change = have < w.records.size() ? Change::records : Change::nothing;
  for (size_t k = have; k < w.records.size(); ++k) v.push_back(w.records[k]);
  i->second.touched = uptime();
  return {{w.line, w.term, true, false, v.size()}, change};
}

/// The whole write where it brought records; what is here already is not written twice.
void StoreMachine::journal_write(const LineWrite& w, Change change, bool fenced) {
  if (change == Change::records) return journal(w);
  if (change == Change::term) return journal(AdoptRecord{w.slot, w.line, w.term});
  if (fenced) journal(Fence{w.slot, w.term});
}

void StoreMachine::on(const Envelope& e, const LineWrite& w) {
  auto& s = slots_[w.slot];
  if (!placed(e, w.slot) || s.fence > w.term) {
    out_.send(e.from, LineWriteReply{w.line, w.term, false, false, 0}, e.from_inc);
    return;
  }
  bool fenced = s.fence < w.term;
  auto r = write(s, w);
  journal_write(w, r.change, fenced);
  out_.send_synced(e.from, r.reply, e.from_inc);
}

void StoreMachine::on(const Envelope& e, const SlotStream& q) {
  SlotStreamReply r{q.slot, q.sequence, q.after, q.tombstone, {}, {}, {}, false};
  if (auto i = slots_.find(q.slot); i != slots_.end()) {
    r.fence = i->second.fence;
    size_t bytes = 0;
    auto j = q.after.program.empty() ? i->second.lines.begin() : i->second.lines.upper_bound(q.after);
    for (; j != i->second.lines.end(); ++j) {
      if (bytes > limits::stream_page_bytes) {
        r.more = true;
        break;
      }
      for (auto& x : j->second.records) bytes += x.input.size() + x.output.size() + limits::record_overhead;
      r.lines.push_back({j->first, j->second.term, j->second.records});
    }
    r.tombstones = i->second.tombstones.above(q.tombstone, limits::tombstones_page);
    r.more = r.more || r.tombstones.size() == limits::tombstones_page;
  }
  out_.send(e.from, r, e.from_inc);
}

StreamRecord StoreMachine::merge(SlotStore& s, const StreamRecord& r) {
  StreamRecord news{r.slot, {}, {}, {}};
  if (s.fence < r.fence) s.fence = news.fence = r.fence;
  for (auto g : r.tombstones) {
    if (s.tombstones.has(g)) continue;
    s.tombstones.add(g);
    news.tombstones.push_back(g);
  }
  if (!news.tombstones.empty())
    std::erase_if(s.lines, [&](auto& l) { return s.tombstones.has(tombstone_of(l.first)); });
  for (auto& l : r.lines) {
    if (s.tombstones.has(tombstone_of(l.line))) continue;
    auto& mine = s.lines[l.line];
    if (std::make_pair(mine.term, mine.records.size()) >= std::make_pair(l.line_term, l.records.size())) continue;
    mine = {l.line_term, l.records, uptime()};
    news.lines.push_back(l);
  }
  return news;
}

void StoreMachine::on(const Envelope& e, const SlotStreamReply& r, Millis now) {
  if (!streams_.on(e, r, now) || streams_.complete() < r.sequence) return;
  out_.note(Event::streamed, "sequence of epoch " + std::to_string(r.sequence.v));
  fol_.hurry();
}

/// Whether a write begins a turn here or brings a history that is not here yet. What ends a turn or a history does
/// not: its turn was admitted before, and an end sets memory free.
bool StoreMachine::admits_more(const LineWrite& w) const {
  auto slot = slots_.find(w.slot);
  auto line = slot == slots_.end() ? Lines::const_iterator{} : slot->second.lines.find(w.line);
  bool here = slot != slots_.end() && line != slot->second.lines.end();
  auto have = here ? line->second.records.size() : 0;
  if (w.adopt) return have < w.records.size();
  return std::any_of(w.records.begin(), w.records.end(), [](auto& r) { return r.kind == RecordKind::reservation; });
}

/// A refused write is tried again by its owner, who answers 503 if no majority takes it in time. Pages and reads are
/// asked for again.
bool StoreMachine::refuse(const Envelope& e) {
  bool refused = std::visit(
      overload{[&](const LineWrite& w) {
                 if (!load_.memory_short || !admits_more(w)) return false;
                 out_.send(e.from, LineWriteReply{w.line, w.term, false, false, 0}, e.from_inc);
                 return true;
               },
               [&](const SlotStreamReply&) { return load_.memory_short; },
               [&](const LinesFetched&) { return load_.memory_short; },
               [&](const LineRead&) { return load_.disk_behind; }, [&](const ChainFind&) { return load_.disk_behind; },
               [&](const SlotStream&) { return load_.disk_behind || load_.memory_short; },
               [&](const LinesFetch&) { return load_.disk_behind || load_.memory_short; },
               [](const auto&) { return false; }},
      e.body);
  refused_ += refused;
  return refused;
}

void StoreMachine::handle(const Envelope& e, Millis now) {
  if (fol_.handle(e, now)) return;
  if (refuse(e)) return;
  if (fol_.park(e, now)) return;
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
  streams_.tick(now);
  if (now >= next_expire_) expire(now);
  if (now >= next_drop_) drop_moved(now);
  rep_.tick(now);
  Heartbeat h{out_.id().self, {}, 0, streams_.complete(), 0, 0, false, rep_.lacking()};
  fol_.tick(now, &h);
}

}  // namespace mosskeel
