#include "scale/field.hpp"

#include <time.h>

#include <algorithm>

#include "consensus/controller_machine.hpp"
#include "history/constants.hpp"
#include "net/wire.hpp"
#include "replication/agent_machine.hpp"
#include "runtime/constants.hpp"

namespace mosskeel::scale {
namespace {

int64_t thread_nanos() {
  timespec t;
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return static_cast<int64_t>(t.tv_sec) * 1000000000 + t.tv_nsec;
}

bool diskless(Part p) {
  return p == Part::agent || p == Part::gateway;
}

}  // namespace

template <class F>
Actions Field::timed(Station& s, F f) {
  auto t = thread_nanos();
  auto a = f();
  s.t.nanos += thread_nanos() - t;
  return a;
}

Field::Field(const Plan& p, uint64_t seed, const StoredPartitions& histories) : dice_(seed) {
  auto v = seats(p, seed);
  auto m = rest(p, v);
  ControllerCheckpoint mc{m, {}, next(m.epoch), {}, std::nullopt};
  StoreCheckpoint rc{m, histories, 2 * kRepairMinimumAge};
  auto mb = codec::pack(mc), rb = codec::pack(rc);
  stations_.resize(v.size());
  for (size_t i = 0; i < v.size(); ++i) {
    auto& s = stations_[i];
    s.seat = v[i];
    if (s.seat.part == Part::controller)
      s.checkpoint = mb;
    if (s.seat.part == Part::store)
      s.checkpoint = rb;
    by_addr_[s.seat.id.self.address] = i;
  }
  truth_[m.epoch] = digest(codec::pack(m));
  for (size_t i = 0; i < v.size(); ++i)
    start(i);
}

Station& Field::of(Part p, size_t n) {
  for (auto& s : stations_)
    if (s.seat.part == p && n-- == 0)
      return s;
  return stations_.front();
}

std::vector<size_t> Field::all(Part p) const {
  std::vector<size_t> v;
  for (size_t i = 0; i < stations_.size(); ++i)
    if (stations_[i].seat.part == p)
      v.push_back(i);
  return v;
}

void Field::start(size_t i, bool fresh) {
  auto& s = stations_[i];
  if (s.machine)
    return;
  if (fresh && diskless(s.seat.part))
    s.seat.id.self.incarnation = Incarnation{dice_()};
  s.seat.id.dice = dice_();
  s.life = ++lives_;
  s.seen = {};
  Recovered r{s.seat.id.self.incarnation, s.checkpoint, s.synced};
  switch (s.seat.part) {
    case Part::controller:
      s.machine = std::make_unique<ControllerMachine>(s.seat.id, r, now_);
      break;
    case Part::store:
      s.machine = std::make_unique<StoreMachine>(s.seat.id, r, now_);
      break;
    case Part::agent:
      s.machine = std::make_unique<AgentMachine>(s.seat.id, now_);
      break;
    case Part::gateway:
      s.machine = std::make_unique<GatewayMachine>(s.seat.id, now_);
      break;
  }
  at(now_ + static_cast<Millis>(dice_() % kTickInterval), [this, i, life = s.life] { tick(i, life); });
}

void Field::stop(size_t i) {
  auto& s = stations_[i];
  s.machine.reset();
  s.waiting.clear();
  s.in_flight = 0;
  s.life = ++lives_;
}

void Field::at(Millis when, std::function<void()> f) {
  items_[when].push_back({-1, 0, nullptr, std::move(f)});
}

bool Field::until(Millis ms, const std::function<bool()>& ok) {
  auto end = now_ + ms;
  while (!items_.empty() && items_.begin()->first <= end) {
    if (ok())
      return true;
    now_ = std::max(now_, items_.begin()->first);
    auto& v = items_.begin()->second;
    for (size_t i = 0; i < v.size(); ++i) {
      auto e = std::move(v[i]);
      e.f ? e.f() : deliver(e);
    }
    items_.erase(items_.begin());
  }
  now_ = end;
  return ok();
}

void Field::deliver(const Event& e) {
  auto& s = stations_[static_cast<size_t>(e.to)];
  if (!s.machine)
    return;
  act(s, timed(s, [&] { return s.machine->step(*e.e, now_); }));
}

void Field::post(size_t i, Envelope e) {
  items_[now_].push_back({static_cast<int>(i), 0, std::make_shared<const Envelope>(std::move(e)), nullptr});
}

void Field::tick(size_t i, uint64_t life) {
  auto& s = stations_[i];
  if (s.life != life || !s.machine)
    return;
  act(s, timed(s, [&] { return s.machine->tick(now_); }));
  at(now_ + kTickInterval, [this, i, life] { tick(i, life); });
}

void Field::act(Station& s, Actions a) {
  if (auto v = s.machine->view(); v->epoch != s.seen) {
    if (v->epoch < s.seen)
      failures.push_back(s.seat.id.self.address + " went back in epochs");
    s.seen = v->epoch;
    if (s.seat.part == Part::gateway) {
      if (took)
        took(s, s.seen);
    } else if (s.seat.part == Part::controller || (s.seat.part == Part::store && s.seat.zone == 0)) {
      auto d = digest(codec::pack(*v));
      if (auto [k, fresh] = truth_.emplace(v->epoch, d); !fresh && k->second != d)
        failures.push_back(s.seat.id.self.address + " holds another value at epoch " +
                           std::to_string(v->epoch.value()));
    }
  }
  for (auto& e : a.now)
    send(s, std::move(e));
  if (diskless(s.seat.part) || (a.journal.empty() && !a.checkpoint && s.waiting.empty())) {
    for (auto& e : a.synced)
      send(s, std::move(e));
  } else if (!a.journal.empty() || !a.synced.empty() || a.checkpoint) {
    for (auto& j : a.journal)
      s.t.journal += j.size();
    if (a.checkpoint)
      ++s.t.checkpoints, s.t.checkpoint_bytes += a.checkpoint->size();
    s.waiting.push_back({std::move(a.journal), std::move(a.checkpoint), std::move(a.synced)});
    if (!s.in_flight)
      begin_sync(s);
  }
  if (a.stop)
    stop(index(s));
}

void Field::begin_sync(Station& s) {
  s.in_flight = s.waiting.size();
  at(now_ + sync_time, [this, i = index(s), life = s.life] {
    if (auto& x = stations_[i]; x.life == life && x.machine)
      flush(x);
  });
}

void Field::flush(Station& s) {
  ++s.t.syncs;
  std::vector<Envelope> sends;
  for (; s.in_flight; --s.in_flight) {
    auto b = std::move(s.waiting.front());
    s.waiting.pop_front();
    for (auto& j : b.journal)
      s.synced.push_back(std::move(j));
    if (b.checkpoint)
      s.checkpoint = std::move(b.checkpoint), s.synced.clear();
    for (auto& e : b.sends)
      sends.push_back(std::move(e));
  }
  if (!s.waiting.empty())
    begin_sync(s);
  for (auto& e : sends)
    send(s, std::move(e));
}

/// The encoded size; of messages that go to many, it is worked out once and the addresses' lengths are put in.
size_t Field::size_of(const Envelope& e) {
  auto ends = e.from.size() + e.to.size();
  uint64_t key = 0;
  if (auto* d = std::get_if<Decided>(&e.body))
    key = d->entry.epoch.value() * 4 + 1;
  if (auto* h = std::get_if<HeartbeatReply>(&e.body); h && h->checkpoint)
    key = h->checkpoint->epoch.value() * 4 + 2;
  if (auto* c = std::get_if<CatchupReply>(&e.body); c && c->checkpoint)
    key = c->checkpoint->epoch.value() * 4 + 3;
  if (!key)
    return encode(e).size();
  auto [i, fresh] = sizes_.emplace(key, 0);
  if (fresh)
    i->second = encode(e).size() - ends;
  return i->second + ends;
}

void Field::send(Station& s, Envelope e) {
  if (e.to.starts_with("local:"))
    return local ? local(s, e) : void();
  if (e.to.starts_with("replica:"))
    return replica ? replica(s, e) : void();
  auto k = kind_name(e.body);
  Tally t{1, size_of(e)};
  bool loop = e.to == s.seat.id.self.address || e.to == s.seat.beside;
  (loop ? s.t.loop : s.t.out)[k] += t;
  auto i = by_addr_.find(e.to);
  if (i == by_addr_.end())
    return;
  auto& to = stations_[i->second];
  if (!to.machine || (!loop && cut && cut(s, to)))
    return;
  if (!loop)
    to.t.in[k] += t;
  Millis d = loop ? 0 : s.seat.zone == to.seat.zone ? near_delay : zone_delay;
  if (s.seat.region != to.seat.region)
    d = region_delay;
  items_[now_ + d].push_back({static_cast<int>(i->second), 0, std::make_shared<const Envelope>(std::move(e)), nullptr});
}

void Field::forget() {
  for (auto& s : stations_)
    s.t = {};
}

Tallies Field::sum(Part p) const {
  Tallies r;
  for (auto& s : stations_) {
    if (s.seat.part != p)
      continue;
    for (auto& [k, t] : s.t.out)
      r.out[k] += t;
    for (auto& [k, t] : s.t.in)
      r.in[k] += t;
    for (auto& [k, t] : s.t.loop)
      r.loop[k] += t;
    r.nanos += s.t.nanos, r.journal += s.t.journal, r.syncs += s.t.syncs;
    r.checkpoints += s.t.checkpoints, r.checkpoint_bytes += s.t.checkpoint_bytes;
  }
  return r;
}

uint64_t Field::most(Part p, bool out) const {
  uint64_t most = 0;
  for (auto& s : stations_) {
    uint64_t n = 0;
    for (auto& [k, t] : out ? s.t.out : s.t.in)
      n += t.bytes;
    if (s.seat.part == p)
      most = std::max(most, n);
  }
  return most;
}

size_t Field::fronts_at(Epoch e) const {
  return static_cast<size_t>(std::count_if(stations_.begin(), stations_.end(), [&](auto& s) {
    return s.seat.part == Part::gateway && s.machine && s.seen >= e;
  }));
}

bool Field::fronts_in_touch() {
  return std::all_of(stations_.begin(), stations_.end(), [&](auto& s) {
    return s.seat.part != Part::gateway || !s.machine || static_cast<GatewayMachine&>(*s.machine).ready(now_);
  });
}

}  // namespace mosskeel::scale
