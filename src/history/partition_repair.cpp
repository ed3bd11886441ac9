#include "history/partition_repair.hpp"
#include "history/constants.hpp"
#include "net/constants.hpp"
#include "replication/constants.hpp"

#include <algorithm>

namespace mosskeel {

std::vector<PartitionRepair::Pair> PartitionRepair::pairs() const {
  std::vector<Pair> v;
  auto& m = *metadata_log_.view();
  auto* me = m.find(out_.id().self.incarnation);
  if (!me)
    return v;
  for (uint32_t i = 0; i < m.partitions.size(); ++i) {
    auto& s = m.partitions[i];
    if (!s.pending_stores.empty() || !std::count(s.stores.begin(), s.stores.end(), me->id))
      continue;
    for (auto id : s.stores)
      if (auto* d = m.find(id); d && id != me->id && d->state == DaemonState::up)
        v.push_back({PartitionId{i}, id});
  }
  std::sort(v.begin(), v.end());
  return v;
}

uint32_t PartitionRepair::incomplete_comparisons() const {
  uint32_t n = 0;
  for (auto& p : pairs()) {
    auto i = whole_.find(p);
    n += i == whole_.end() || i->second != metadata_log_.view()->partitions[p.first.value()].stores_epoch;
  }
  return n;
}

/// Order does not count; what was written lately is left out, since it may still be on its way.
uint64_t PartitionRepair::sum(PartitionId s) const {
  uint64_t x = 0;
  auto i = slots_.find(s);
  if (i == slots_.end())
    return x;
  for (auto& [n, l] : i->second.histories)
    if (settled(l))
      x += digest(codec::pack(std::make_pair(l.term, l.records.size())), tombstone_of(n));
  return x;
}

void PartitionRepair::begin(Millis now) {
  auto v = pairs();
  std::erase_if(whole_, [&](auto& w) { return !std::binary_search(v.begin(), v.end(), w.first); });
  if (v.empty())
    return;
  auto i = std::upper_bound(v.begin(), v.end(), last_);
  last_ = i == v.end() ? v.front() : *i;
  auto* d = metadata_log_.view()->find(last_.second);
  job_ = Job{last_, metadata_log_.view()->partitions[last_.first.value()].stores_epoch};
  job_->asked = now;
  out_.send(d->self.address, PartitionChecksum{last_.first, job_->changed, sum(last_.first)}, d->self.incarnation);
}

void PartitionRepair::proceed(Millis now) {
  auto& j = *job_;
  auto* d = metadata_log_.view()->find(j.pair.second);
  if (!d || (j.want.empty() && !j.more))
    return finish();
  j.answered = false;
  j.asked = now;
  if (j.want.empty())
    return out_.send(d->self.address, ListHistories{j.pair.first, j.after}, d->self.incarnation);
  auto n = std::min(j.want.size(), kRepairHistoriesPerMessage);
  out_.send(d->self.address, FetchHistories{j.pair.first, {j.want.begin(), j.want.begin() + static_cast<ptrdiff_t>(n)}},
            d->self.incarnation);
}

void PartitionRepair::tick(Millis now) {
  if (now - ticked_ > kIsolationTimeout)
    whole_.clear();
  ticked_ = now;
  if (now < next_)
    return;
  next_ = now + kRepairInterval;
  if (!job_)
    return begin(now);
  if (job_->answered)
    return proceed(now);
  if (now - job_->asked < kRepairRequestTimeout)
    return;
  whole_.erase(job_->pair);
  job_.reset();
}

bool PartitionRepair::mine(const Envelope& e, PartitionId s) const {
  auto* d = metadata_log_.view()->find(e.from_inc);
  return job_ && d && job_->pair == Pair{s, d->id} && !job_->answered;
}

bool PartitionRepair::on(const Envelope& e, Millis) {
  return std::visit(overload{[&](const PartitionChecksum& c) {
                               auto& m = *metadata_log_.view();
                               bool same = c.partition.value() < m.partitions.size() &&
                                           m.partitions[c.partition.value()].stores_epoch == c.changed &&
                                           sum(c.partition) == c.checksum;
                               out_.send(e.from, PartitionChecksumReply{c.partition, c.changed, same}, e.from_inc);
                               return true;
                             },
                             [&](const PartitionChecksumReply& r) {
                               if (!mine(e, r.partition) || job_->listing || r.changed != job_->changed)
                                 return true;
                               if (r.equal)
                                 return finish(), true;
                               whole_.erase(job_->pair);
                               job_->listing = job_->answered = true;
                               return true;
                             },
                             [&](const ListHistories& q) { return on(e, q), true; },
                             [&](const FetchHistories& q) { return on(e, q), true; },
                             [&](const ListHistoriesReply& r) {
                               if (mine(e, r.partition) && job_->listing && job_->after == r.after)
                                 on(r);
                               return true;
                             },
                             [&](const FetchHistoriesReply& r) {
                               if (mine(e, r.partition) && !job_->want.empty())
                                 on(r);
                               return true;
                             },
                             [](const auto&) {
                               return false;
                             }},
                    e.body);
}

void PartitionRepair::on(const Envelope& e, const ListHistories& q) {
  ListHistoriesReply r{q.partition, q.after, {}, false};
  if (auto i = slots_.find(q.partition); i != slots_.end()) {
    auto& v = i->second.histories;
    for (auto j = q.after.program.empty() ? v.begin() : v.upper_bound(q.after); j != v.end(); ++j) {
      if (r.summaries.size() == kRepairSummariesPerMessage) {
        r.more = true;
        break;
      }
      r.summaries.push_back({j->first, j->second.term, j->second.records.size()});
    }
  }
  out_.send(e.from, r, e.from_inc);
}

void PartitionRepair::on(const ListHistoriesReply& r) {
  auto i = slots_.find(r.partition);
  for (auto& x : r.summaries) {
    job_->after = x.history;
    Epoch term{};
    uint64_t length = 0;
    if (i != slots_.end()) {
      if (i->second.tombstones.has(tombstone_of(x.history)))
        continue;
      if (auto l = i->second.histories.find(x.history); l != i->second.histories.end())
        term = l->second.term, length = l->second.records.size();
    }
    if (std::make_pair(term, length) < std::make_pair(x.term, x.length))
      job_->want.push_back(x.history);
  }
  job_->more = r.more;
  job_->answered = true;
}

void PartitionRepair::on(const Envelope& e, const FetchHistories& q) {
  FetchHistoriesReply r{q.partition, {}};
  auto i = slots_.find(q.partition);
  size_t bytes = 0;
  for (auto& n : q.names) {
    if (i == slots_.end() || bytes > kMaxHttpBodyBytes / 4)
      break;
    auto l = i->second.histories.find(n);
    if (l == i->second.histories.end())
      continue;
    for (auto& x : l->second.records)
      bytes += x.input.size() + x.output.size() + sizeof x;
    r.histories.push_back({n, l->second.term, l->second.records});
  }
  out_.send(e.from, r, e.from_inc);
}

void PartitionRepair::on(const FetchHistoriesReply& r) {
  auto n = std::min(job_->want.size(), kRepairHistoriesPerMessage);
  auto last = job_->want[n - 1];
  if (!r.histories.empty()) {
    fetched_ += r.histories.size();
    take({r.partition, {}, r.histories, {}});
    last = r.histories.back().history;
  }
  std::erase_if(job_->want, [&](auto& x) { return x <= last; });
  job_->answered = true;
}

}  // namespace mosskeel
