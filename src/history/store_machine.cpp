#include "history/store_machine.hpp"
#include "history/constants.hpp"
#include "runtime/constants.hpp"
#include "storage/constants.hpp"

#include <algorithm>

namespace mosskeel {

StoreMachine::StoreMachine(const Identity& id, Recovered r, Millis now)
    : out_(id),
      follower_(out_, metadata_log_, now),
      rep_(out_, metadata_log_, slots_),
      streams_(out_, metadata_log_),
      born_(now),
      now_(now) {
  rep_.take = streams_.take = [this](const MergeRecord& q) {
    auto news = merge(slots_[q.partition], q);
    if (news.fence != Epoch{} || !news.histories.empty() || !news.tombstones.empty())
      journal(news);
  };
  rep_.uptime = [this] {
    return uptime();
  };
  if (r.checkpoint)
    recover(std::move(*r.checkpoint));
  for (auto& s : r.journal) {
    grown_ += s.size();
    if (auto x = codec::unpack<StoreRecord>(s))
      replay(*x);
    s = {};
  }
  out_.cluster = metadata_log_.view()->cluster;
  out_.epoch = metadata_log_.epoch();
  follower_.report_durable_epochs_only();
  follower_.on_entry = [this](const Entry& e) {
    journal(e);
  };
  follower_.on_snapshot = [this](const Metadata& m) {
    journal(m);
  };
}

/// Reads the form of `StoreCheckpoint` partition by partition, so that no more than one partition is in memory twice.
void StoreMachine::recover(std::string checkpoint) {
  codec::Reader r{checkpoint};
  Metadata metadata;
  StoredPartitions partitions;
  uint32_t count = 0;
  bool whole = codec::get(r, metadata) && codec::get(r, count);
  for (; whole && count; --count) {
    PartitionId id;
    whole = codec::get(r, id) && codec::get(r, partitions[id]);
  }
  Millis uptime = 0;
  if (!whole || !codec::get(r, uptime) || !r.s.empty())
    return;
  metadata_log_.install_snapshot(metadata);
  slots_ = std::move(partitions);
  before_ = uptime;
  checkpoint_size_ = checkpoint.size();
}

void StoreMachine::replay(const StoreRecord& r) {
  std::visit(
      overload{[&](const FenceRecord& f) { slots_[f.partition].fence = std::max(slots_[f.partition].fence, f.term); },
               [&](const AppendHistory& w) { write(slots_[w.partition], w); },
               [&](const MergeRecord& q) { merge(slots_[q.partition], q); },
               [&](const TombstoneRecord& b) { bury(slots_[b.partition], b.history); },
               [&](const Entry& e) { metadata_log_.add(e); },
               [&](const Metadata& m) { metadata_log_.install_snapshot(m); },
               [&](const HistoryTermRecord& a) {
                 auto& s = slots_[a.partition];
                 auto& l = s.histories[a.history];
                 s.fence = std::max(s.fence, a.term);
                 l.term = std::max(l.term, a.term);
               },
               [&](const DropPartitionRecord& d) {
                 slots_[d.partition].histories.clear();
               }},
      r);
}

std::string StoreMachine::checkpoint() const {
  std::string s;
  s.reserve(checkpoint_size_ + grown_ + kSegmentBytes / 16);
  codec::put(s, *metadata_log_.view());
  codec::put(s, slots_);
  codec::put(s, uptime());
  checkpoint_size_ = s.size();
  return s;
}

/// As long as the last checkpoint, so that a checkpoint is written for as many bytes of journal, and a start reads
/// no more than twice the state.
size_t StoreMachine::journal_limit() const {
  return std::clamp(checkpoint_size_, kMinCheckpointJournalBytes, kCheckpointJournalBytes);
}

Actions StoreMachine::done() {
  for (auto& s : out_.act.journal)
    grown_ += s.size();
  if (grown_ > journal_limit()) {
    out_.act.checkpoint = checkpoint();
    grown_ = 0;
  }
  return out_.take();
}

bool StoreMachine::placed(const Envelope& e, PartitionId s) const {
  auto& m = *metadata_log_.view();
  auto* me = m.find(out_.id().self.incarnation);
  auto* you = m.find(e.from_inc);
  if (!me || !you || s.value() >= m.partitions.size())
    return false;
  auto& x = m.partitions[s.value()];
  auto in = [&](auto& v) {
    return std::count(v.begin(), v.end(), me->id) > 0;
  };
  return e.epoch >= std::max(x.term, x.stores_epoch) && x.owner == you->id && (in(x.stores) || in(x.pending_stores));
}

bool StoreMachine::fence(PartitionId s, Epoch term) {
  auto& x = slots_[s];
  if (term < x.fence)
    return false;
  if (term > x.fence) {
    x.fence = term;
    journal(FenceRecord{s, term});
  }
  return true;
}

void StoreMachine::on(const Envelope& e, const ReadHistory& r) {
  bool yes = placed(e, r.partition) && fence(r.partition, r.term);
  auto& s = slots_[r.partition];
  ReadHistoryReply a{r.history, r.term, yes, {}, s.tombstones.has(tombstone_of(r.history)), {}};
  if (auto i = s.histories.find(r.history); yes && i != s.histories.end())
    a.history_term = i->second.term, a.records = i->second.records;
  out_.send_synced(e.from, a, e.from_inc);
}

StoreMachine::Written StoreMachine::adopt(StoredPartition& s, const AppendHistory& w) {
  auto& l = s.histories[w.history];
  if (l.term > w.term)
    return {{w.history, w.term, false, false, 0}};
  auto change = Change::nothing;
  if (l.records == w.records) {
    if (l.term < w.term)
      change = Change::term;
    l.term = w.term;
  } else if (l.term < w.term || w.records.size() >= l.records.size()) {
    change = Change::records;
    l = {w.term, w.records, l.records.size() == w.records.size() ? l.touched : uptime()};
  }
  return {{w.history, w.term, true, false, l.records.size()}, change};
}

StoreMachine::Written StoreMachine::write(StoredPartition& s, const AppendHistory& w) {
  s.fence = std::max(s.fence, w.term);
  if (s.tombstones.has(tombstone_of(w.history)))
    return {{w.history, w.term, false, false, 0}};
  if (w.replace)
    return adopt(s, w);
  auto i = s.histories.find(w.history);
  if (i == s.histories.end() || i->second.term != w.term || i->second.records.size() < w.from)
    return {{w.history, w.term, true, true, 0}};
  auto& v = i->second.records;
  size_t have = v.size() - w.from;
  auto change = have < w.records.size() ? Change::records : Change::nothing;
  for (size_t k = have; k < w.records.size(); ++k)
    v.push_back(w.records[k]);
  i->second.touched = uptime();
  return {{w.history, w.term, true, false, v.size()}, change};
}

/// The whole write where it brought records; what is here already is not written twice.
void StoreMachine::journal_write(const AppendHistory& w, Change change, bool fenced) {
  if (change == Change::records)
    return journal(w);
  if (change == Change::term)
    return journal(HistoryTermRecord{w.partition, w.history, w.term});
  if (fenced)
    journal(FenceRecord{w.partition, w.term});
}

void StoreMachine::on(const Envelope& e, const AppendHistory& w) {
  auto& s = slots_[w.partition];
  if (!placed(e, w.partition) || s.fence > w.term) {
    out_.send(e.from, AppendHistoryReply{w.history, w.term, false, false, 0}, e.from_inc);
    return;
  }
  bool fenced = s.fence < w.term;
  auto r = write(s, w);
  journal_write(w, r.change, fenced);
  out_.send_synced(e.from, r.reply, e.from_inc);
}

void StoreMachine::on(const Envelope& e, const StreamPartition& q) {
  StreamPartitionReply r{q.partition, q.sequence, q.after, q.tombstone, {}, {}, {}, false};
  if (auto i = slots_.find(q.partition); i != slots_.end()) {
    r.fence = i->second.fence;
    size_t bytes = 0;
    auto j = q.after.program.empty() ? i->second.histories.begin() : i->second.histories.upper_bound(q.after);
    for (; j != i->second.histories.end(); ++j) {
      if (bytes > kTransferPageBytes) {
        r.more = true;
        break;
      }
      for (auto& x : j->second.records)
        bytes += x.input.size() + x.output.size() + kRecordOverheadBytes;
      r.histories.push_back({j->first, j->second.term, j->second.records});
    }
    r.tombstones = i->second.tombstones.above(q.tombstone, kTombstonesPerMessage);
    r.more = r.more || r.tombstones.size() == kTombstonesPerMessage;
  }
  out_.send(e.from, r, e.from_inc);
}

MergeRecord StoreMachine::merge(StoredPartition& s, const MergeRecord& r) {
  MergeRecord news{r.partition, {}, {}, {}};
  if (s.fence < r.fence)
    s.fence = news.fence = r.fence;
  for (auto g : r.tombstones) {
    if (s.tombstones.has(g))
      continue;
    s.tombstones.add(g);
    news.tombstones.push_back(g);
  }
  if (!news.tombstones.empty())
    std::erase_if(s.histories, [&](auto& l) { return s.tombstones.has(tombstone_of(l.first)); });
  for (auto& l : r.histories) {
    if (s.tombstones.has(tombstone_of(l.history)))
      continue;
    auto& mine = s.histories[l.history];
    if (std::make_pair(mine.term, mine.records.size()) >= std::make_pair(l.history_term, l.records.size()))
      continue;
    mine = {l.history_term, l.records, uptime()};
    news.histories.push_back(l);
  }
  return news;
}

void StoreMachine::on(const Envelope& e, const StreamPartitionReply& r, Millis now) {
  if (!streams_.on(e, r, now) || streams_.complete() < r.sequence)
    return;
  out_.note(Event::streamed, "sequence of epoch " + std::to_string(r.sequence.value()));
  follower_.send_heartbeat_soon();
}

/// Whether a write begins a turn here or brings a history that is not here yet. What ends a turn or a history does
/// not: its turn was admitted before, and an end sets memory free.
bool StoreMachine::admits_more(const AppendHistory& w) const {
  auto partition = slots_.find(w.partition);
  auto history = partition == slots_.end() ? Histories::const_iterator{} : partition->second.histories.find(w.history);
  bool here = partition != slots_.end() && history != partition->second.histories.end();
  auto have = here ? history->second.records.size() : 0;
  if (w.replace)
    return have < w.records.size();
  return std::any_of(w.records.begin(), w.records.end(), [](auto& r) { return r.kind == RecordKind::reservation; });
}

/// A refused write is tried again by its owner, who answers 503 if no majority takes it in time. Pages and reads are
/// asked for again.
bool StoreMachine::refuse(const Envelope& e) {
  bool refused =
      std::visit(overload{[&](const AppendHistory& w) {
                            if (!load_.memory_short || !admits_more(w))
                              return false;
                            out_.send(e.from, AppendHistoryReply{w.history, w.term, false, false, 0}, e.from_inc);
                            return true;
                          },
                          [&](const StreamPartitionReply&) { return load_.memory_short; },
                          [&](const FetchHistoriesReply&) { return load_.memory_short; },
                          [&](const ReadHistory&) { return load_.disk_behind; },
                          [&](const FindChain&) { return load_.disk_behind; },
                          [&](const StreamPartition&) { return load_.disk_behind || load_.memory_short; },
                          [&](const FetchHistories&) { return load_.disk_behind || load_.memory_short; },
                          [](const auto&) {
                            return false;
                          }},
                 e.body);
  refused_ += refused;
  return refused;
}

void StoreMachine::handle(const Envelope& e, Millis now) {
  if (follower_.handle(e, now))
    return;
  if (refuse(e))
    return;
  if (follower_.defer(e, now))
    return;
  if (rep_.on(e, now))
    return;
  std::visit(overload{[&](const ReadHistory& r) { on(e, r); }, [&](const AppendHistory& w) { on(e, w); },
                      [&](const WriteTombstone& b) { on(e, b); }, [&](const StreamPartition& q) { on(e, q); },
                      [&](const StreamPartitionReply& r) { on(e, r, now); }, [&](const FindChain& f) { on(e, f); },
                      [&](const auto&) {
                      }},
             e.body);
}

Actions StoreMachine::step(const Envelope& e, Millis now) {
  now_ = now;
  if (follower_.is_foreign(e)) {
    out_.note(Event::foreign, "from " + e.from);
    return done();
  }
  auto before = metadata_log_.epoch();
  handle(e, now);
  if (metadata_log_.epoch() != before) {
    for (auto& p : follower_.take_deferred())
      handle(p, now);
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
  if (now >= next_expire_)
    expire(now);
  if (now >= next_drop_)
    drop_moved(now);
  rep_.tick(now);
  Heartbeat h{out_.id().self, {}, 0, streams_.complete(), 0, 0, false, rep_.incomplete_comparisons()};
  follower_.tick(now, &h);
}

}  // namespace mosskeel
