#include "history/repair.hpp"

#include <algorithm>

namespace mosskeel {

std::vector<Repair::Pair> Repair::pairs() const {
  std::vector<Pair> v;
  auto& m = *led_.view();
  auto* me = m.find(out_.id().self.inc);
  if (!me) return v;
  for (uint32_t i = 0; i < m.slots.size(); ++i) {
    auto& s = m.slots[i];
    if (!s.pending.empty() || !std::count(s.stores.begin(), s.stores.end(), me->id)) continue;
    for (auto id : s.stores)
      if (auto* d = m.find(id); d && id != me->id && d->state == DaemonState::up) v.push_back({SlotId{i}, id});
  }
  std::sort(v.begin(), v.end());
  return v;
}

uint32_t Repair::lacking() const {
  uint32_t n = 0;
  for (auto& p : pairs()) {
    auto i = whole_.find(p);
    n += i == whole_.end() || i->second != led_.view()->slots[p.first.v].changed;
  }
  return n;
}

/// Order does not count; what was written lately is left out, since it may still be on its way.
uint64_t Repair::sum(SlotId s) const {
  uint64_t x = 0;
  auto i = slots_.find(s);
  if (i == slots_.end()) return x;
  for (auto& [n, l] : i->second.lines)
    if (settled(l)) x += digest(codec::pack(std::make_pair(l.term, l.records.size())), tombstone_of(n));
  return x;
}

void Repair::begin(Millis now) {
  auto v = pairs();
  std::erase_if(whole_, [&](auto& w) { return !std::binary_search(v.begin(), v.end(), w.first); });
  if (v.empty()) return;
  auto i = std::upper_bound(v.begin(), v.end(), last_);
  last_ = i == v.end() ? v.front() : *i;
  auto* d = led_.view()->find(last_.second);
  job_ = Job{last_, led_.view()->slots[last_.first.v].changed};
  job_->asked = now;
  out_.send(d->self.addr, SlotCheck{last_.first, job_->changed, sum(last_.first)}, d->self.inc);
}

void Repair::proceed(Millis now) {
  auto& j = *job_;
  auto* d = led_.view()->find(j.pair.second);
  if (!d || (j.want.empty() && !j.more)) return finish();
  j.answered = false;
  j.asked = now;
  if (j.want.empty()) return out_.send(d->self.addr, SlotList{j.pair.first, j.after}, d->self.inc);
  auto n = std::min(j.want.size(), limits::repair_lines);
  out_.send(d->self.addr, LinesFetch{j.pair.first, {j.want.begin(), j.want.begin() + static_cast<ptrdiff_t>(n)}},
            d->self.inc);
}

void Repair::tick(Millis now) {
  if (now - ticked_ > limits::isolation) whole_.clear();
  ticked_ = now;
  if (now < next_) return;
  next_ = now + limits::repair_pace;
  if (!job_) return begin(now);
  if (job_->answered) return proceed(now);
  if (now - job_->asked < limits::repair_patience) return;
  whole_.erase(job_->pair);
  job_.reset();
}

bool Repair::mine(const Envelope& e, SlotId s) const {
  auto* d = led_.view()->find(e.from_inc);
  return job_ && d && job_->pair == Pair{s, d->id} && !job_->answered;
}

bool Repair::on(const Envelope& e, Millis) {
  return std::visit(
      overload{[&](const SlotCheck& c) {
                 auto& m = *led_.view();
                 bool same =
                     c.slot.v < m.slots.size() && m.slots[c.slot.v].changed == c.changed && sum(c.slot) == c.sum;
                 out_.send(e.from, SlotCheckReply{c.slot, c.changed, same}, e.from_inc);
                 return true;
               },
               [&](const SlotCheckReply& r) {
                 if (!mine(e, r.slot) || job_->listing || r.changed != job_->changed) return true;
                 if (r.equal) return finish(), true;
                 whole_.erase(job_->pair);
                 job_->listing = job_->answered = true;
                 return true;
               },
               [&](const SlotList& q) { return on(e, q), true; }, [&](const LinesFetch& q) { return on(e, q), true; },
               [&](const SlotListReply& r) {
                 if (mine(e, r.slot) && job_->listing && job_->after == r.after) on(r);
                 return true;
               },
               [&](const LinesFetched& r) {
                 if (mine(e, r.slot) && !job_->want.empty()) on(r);
                 return true;
               },
               [](const auto&) { return false; }},
      e.body);
}

void Repair::on(const Envelope& e, const SlotList& q) {
  SlotListReply r{q.slot, q.after, {}, false};
  if (auto i = slots_.find(q.slot); i != slots_.end()) {
    auto& v = i->second.lines;
    for (auto j = q.after.program.empty() ? v.begin() : v.upper_bound(q.after); j != v.end(); ++j) {
      if (r.marks.size() == limits::repair_marks) {
        r.more = true;
        break;
      }
      r.marks.push_back({j->first, j->second.term, j->second.records.size()});
    }
  }
  out_.send(e.from, r, e.from_inc);
}

void Repair::on(const SlotListReply& r) {
  auto i = slots_.find(r.slot);
  for (auto& x : r.marks) {
    job_->after = x.line;
    Epoch term{};
    uint64_t length = 0;
    if (i != slots_.end()) {
      if (i->second.tombstones.has(tombstone_of(x.line))) continue;
      if (auto l = i->second.lines.find(x.line); l != i->second.lines.end())
        term = l->second.term, length = l->second.records.size();
    }
    if (std::make_pair(term, length) < std::make_pair(x.term, x.length)) job_->want.push_back(x.line);
  }
  job_->more = r.more;
  job_->answered = true;
}

void Repair::on(const Envelope& e, const LinesFetch& q) {
  LinesFetched r{q.slot, {}};
  auto i = slots_.find(q.slot);
  size_t bytes = 0;
  for (auto& n : q.names) {
    if (i == slots_.end() || bytes > limits::body_bytes / 4) break;
    auto l = i->second.lines.find(n);
    if (l == i->second.lines.end()) continue;
    for (auto& x : l->second.records) bytes += x.input.size() + x.output.size() + sizeof x;
    r.lines.push_back({n, l->second.term, l->second.records});
  }
  out_.send(e.from, r, e.from_inc);
}

void Repair::on(const LinesFetched& r) {
  auto n = std::min(job_->want.size(), limits::repair_lines);
  auto last = job_->want[n - 1];
  if (!r.lines.empty()) {
    fetched_ += r.lines.size();
    take({r.slot, {}, r.lines, {}});
    last = r.lines.back().line;
  }
  std::erase_if(job_->want, [&](auto& x) { return x <= last; });
  job_->answered = true;
}

}  // namespace mosskeel
