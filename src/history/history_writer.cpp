#include "history/history_writer.hpp"
#include "history/constants.hpp"

#include <algorithm>

namespace mosskeel {

bool HistoryWriter::mine(PartitionId s) const {
  auto& m = *metadata_log_.view();
  if (s.value() >= m.partitions.size())
    return false;
  auto* d = m.find(m.partitions[s.value()].owner);
  return d && d->self.incarnation == out_.id().self.incarnation;
}

std::vector<const Daemon*> HistoryWriter::targets(const Held& h) const {
  auto& m = *metadata_log_.view();
  auto& s = m.partitions[h.partition.value()];
  std::set<DaemonId> ids(s.stores.begin(), s.stores.end());
  ids.insert(s.pending_stores.begin(), s.pending_stores.end());
  std::vector<const Daemon*> v;
  for (auto id : ids)
    if (auto* d = m.find(id); d && d->state != DaemonState::left && !m.evacuated.count(d->self.zone))
      v.push_back(d);
  return v;
}

/// A read quorum of the set in force, or a write quorum of both sets while places move.
bool HistoryWriter::enough(const Held& h, const std::function<bool(DaemonId)>& has) const {
  auto& metadata = *metadata_log_.view();
  auto& partition = metadata.partitions[h.partition.value()];
  auto count = [&](const std::vector<DaemonId>& set) {
    return static_cast<size_t>(std::count_if(set.begin(), set.end(), has));
  };
  auto written = [&](const std::vector<DaemonId>& set) {
    return count(set) >= metadata.write_quorum(set.size());
  };
  auto size = partition.stores.size();
  if (h.reading)
    return size >= metadata.write_quorum(size) && count(partition.stores) >= metadata.read_quorum(size);
  return written(partition.stores) && (partition.pending_stores.empty() || written(partition.pending_stores));
}

/// What a store said before it knew of the set in force is no word on what it holds as a member of that set.
bool HistoryWriter::has_read(const Held& h, const Peer& p) const {
  return p.read && p.read_at >= metadata_log_.view()->partitions[h.partition.value()].stores_epoch;
}

HistoryWriter::State HistoryWriter::open(const HistoryName& n, Millis now) {
  auto partition = partition_of(n.cell, n.program);
  if (!mine(partition))
    return State::fenced;
  auto term = metadata_log_.view()->partitions[partition.value()].term;
  auto i = lines_.find(n);
  if (i != lines_.end() && i->second.term != term) {
    lines_.erase(i);
    i = lines_.end();
  }
  if (i == lines_.end()) {
    i = lines_.emplace(n, Held{}).first;
    i->second.partition = partition;
    i->second.term = term;
    i->second.since = now;
    pump(n, i->second, now, false);
  }
  i->second.used = now;
  auto& h = i->second;
  if (h.state == State::opening && now - h.since > kHistoryQuorumTimeout) {
    if (h.reading)
      lines_.erase(i);
    return State::unavailable;
  }
  return h.state;
}

const Records& HistoryWriter::records(const HistoryName& n) const {
  static const Records none;
  auto i = lines_.find(n);
  return i == lines_.end() ? none : i->second.records;
}

uint64_t HistoryWriter::committed_length(const HistoryName& n) const {
  auto i = lines_.find(n);
  return i == lines_.end() ? 0 : i->second.committed;
}

bool HistoryWriter::is_committed(const HistoryName& n, const Record& r) const {
  return static_cast<uint64_t>(&r - records(n).data()) < committed_length(n);
}

Epoch HistoryWriter::term(const HistoryName& n) const {
  auto i = lines_.find(n);
  return i == lines_.end() ? Epoch{} : i->second.term;
}

bool HistoryWriter::ended(const HistoryName& n) const {
  auto i = lines_.find(n);
  if (i == lines_.end())
    return false;
  auto& v = i->second.records;
  return i->second.has_tombstone || (!v.empty() && v.back().kind == RecordKind::ended);
}

bool HistoryWriter::has_quorum(const HistoryName& n, const std::function<bool(DaemonId)>& has) const {
  auto i = lines_.find(n);
  return i != lines_.end() && enough(i->second, has);
}

uint64_t HistoryWriter::append(const HistoryName& n, Record r, Millis now) {
  auto i = lines_.find(n);
  if (i == lines_.end())
    return 0;
  i->second.records.push_back(std::move(r));
  pump(n, i->second, now, false);
  return i->second.records.size();
}

void HistoryWriter::pump(const HistoryName& n, Held& h, Millis now, bool retry) {
  if (h.state == State::fenced)
    return;
  for (auto* d : targets(h)) {
    auto& p = h.peers[d->id];
    if (auto& incarnation = h.incs[d->id]; incarnation != d->self.incarnation) {
      p = {};
      incarnation = d->self.incarnation;
    }
    bool due = p.last == 0 || (retry && now - p.last >= kStoreRetryInterval);
    if (h.reading) {
      if (has_read(h, p) || !due)
        continue;
      out_.send(d->self.address, ReadHistory{n, h.partition, h.term}, d->self.incarnation);
    } else if (!p.adopted) {
      if (!due || h.records.empty())
        continue;
      p.sent = h.records.size();
      out_.send(d->self.address, AppendHistory{n, h.partition, h.term, true, 0, h.records}, d->self.incarnation);
    } else {
      if (retry && p.acked < h.records.size() && now - p.last >= kStoreRetryInterval)
        p.sent = p.acked;
      if (p.sent >= h.records.size())
        continue;
      Records v(h.records.begin() + static_cast<ptrdiff_t>(p.sent), h.records.end());
      out_.send(d->self.address, AppendHistory{n, h.partition, h.term, false, p.sent, std::move(v)},
                d->self.incarnation);
      p.sent = h.records.size();
    }
    p.last = now;
  }
}

void HistoryWriter::settle(const HistoryName& n, Held& h, Millis now) {
  if (h.reading) {
    if (!enough(h, [&](DaemonId id) { return h.peers.count(id) && has_read(h, h.peers[id]); }))
      return;
    h.reading = false;
    for (auto& [id, p] : h.peers)
      p.last = 0, p.adopted = false;
    if (h.has_tombstone)
      h.records.clear();
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
    if (p.adopted)
      marks.push_back(p.acked);
  std::sort(marks.rbegin(), marks.rend());
  for (auto k : marks) {
    if (k < h.committed || (k == h.committed && h.state == State::open))
      break;
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
  if (h.committed != before)
    changed_.insert(n);
}

bool HistoryWriter::handle(const Envelope& e, Millis now) {
  if (auto* r = std::get_if<ReadHistoryReply>(&e.body)) {
    auto i = lines_.find(r->history);
    auto* d = metadata_log_.view()->find(e.from_inc);
    if (i == lines_.end() || i->second.term != r->term || !d)
      return true;
    auto& h = i->second;
    if (!r->granted || !h.reading)
      return true;
    auto& p = h.peers[d->id];
    p.read = true;
    p.read_at = std::max(p.read_at, e.epoch);
    h.has_tombstone = h.has_tombstone || r->has_tombstone;
    if (std::make_pair(h.best_term, h.records.size()) < std::make_pair(r->history_term, r->records.size())) {
      h.best_term = r->history_term;
      h.records = r->records;
    }
    settle(r->history, h, now);
    return true;
  }
  if (auto* r = std::get_if<AppendHistoryReply>(&e.body)) {
    auto i = lines_.find(r->history);
    auto* d = metadata_log_.view()->find(e.from_inc);
    if (i == lines_.end() || i->second.term != r->term || !d)
      return true;
    auto& h = i->second;
    auto& p = h.peers[d->id];
    if (!r->granted)
      return true;
    if (r->gap) {
      p.adopted = false;
      p.last = 0;
      pump(r->history, h, now, false);
      return true;
    }
    p.adopted = true;
    p.acked = std::max(p.acked, r->length);
    settle(r->history, h, now);
    if (h.state == State::open)
      pump(r->history, h, now, false);
    return true;
  }
  return false;
}

void HistoryWriter::tick(Millis now) {
  for (auto i = lines_.begin(); i != lines_.end();) {
    auto& [n, h] = *i;
    if (!mine(h.partition) || metadata_log_.view()->partitions[h.partition.value()].term != h.term) {
      changed_.insert(n);
      i = lines_.erase(i);
      continue;
    }
    if (h.state == State::opening || h.committed < h.records.size()) {
      settle(n, h, now);
      pump(n, h, now, true);
    } else if (now - h.used > kIdleHistoryTimeout) {
      i = lines_.erase(i);
      continue;
    }
    ++i;
  }
}

}  // namespace mosskeel
