#include "follow/follower.hpp"

#include <algorithm>

namespace mosskeel {
namespace {

const Address& ear(const Daemon& d) {
  return d.self.agent.empty() ? d.self.addr : d.self.agent;
}

}  // namespace

/// The time by which a majority of these daemons, ourselves left out, had been heard.
Millis Follower::majority_time(const Metadata& m, const std::vector<DaemonId>& v, const Voices& heard,
                               const Candidate& but) {
  std::vector<Millis> t;
  for (auto id : v) {
    auto* d = m.find(id);
    if (!d || d->self.inc == but.inc || ear(*d) == but.addr) continue;
    auto i = heard.find(ear(*d));
    bool same = i != heard.end() && (d->self.role == Role::front || i->second.inc == d->self.inc);
    t.push_back(same ? i->second.sent : INT64_MIN / 2);
  }
  if (t.empty()) return INT64_MIN / 2;
  std::sort(t.rbegin(), t.rend());
  return t[majority_of(t.size()) - 1];
}

void Follower::tell(const Address& to, Message m) {
  if (durable_)
    out_.send_synced(to, std::move(m));
  else
    out_.send(to, std::move(m));
}

bool Follower::foreign(const Envelope& e) const {
  if (e.to_inc.v && e.to_inc != out_.id().self.inc) return true;
  return e.cluster && out_.cluster && e.cluster != out_.cluster && !succeeds(*led_.view(), e.cluster);
}

void Follower::learn(const Entries& v, const std::optional<Metadata>& c) {
  if (c && (out_.cluster == 0 || c->cluster == out_.cluster || succeeds(*led_.view(), c->cluster)) && led_.jump(*c)) {
    out_.note(Event::caught_up, "checkpoint at " + std::to_string(c->epoch.v));
    if (on_jump) on_jump(*c);
  }
  for (auto& e : v)
    for (auto& x : led_.add(e))
      if (on_entry) on_entry(x);
  out_.cluster = led_.view()->cluster;
  out_.epoch = led_.epoch();
}

bool Follower::handle(const Envelope& e, Millis now) {
  return std::visit(overload{[&](const Discover&) {
                               DiscoverReply r{out_.id().self, out_.cluster, led_.epoch(), {}, {}};
                               for (auto id : led_.view()->members) r.core.push_back(led_.view()->find(id)->self.addr);
                               out_.send(e.from, r);
                               return true;
                             },
                             [&](const DiscoverReply& d) {
                               if (out_.cluster || !d.cluster) return true;
                               out_.send(e.from, Catchup{led_.epoch()});
                               for (auto& a : d.core)
                                 if (a != e.from) out_.send(a, Catchup{led_.epoch()});
                               return true;
                             },
                             [&](const Decided& d) {
                               learn({d.entry}, std::nullopt);
                               if (led_.gap()) out_.send(e.from, Catchup{led_.epoch()});
                               return true;
                             },
                             [&](const Catchup& c) {
                               auto [m, v] = led_.since(c.known);
                               if (m || !v.empty()) out_.send(e.from, CatchupReply{led_.epoch(), m, v});
                               return true;
                             },
                             [&](const CatchupReply& c) { return learn(c.entries, c.checkpoint), true; },
                             [&](const CommitReply& c) { return learn(c.entries, c.checkpoint), true; },
                             [&](const Heartbeat& h) {
                               auto [c, v] = led_.little_since(h.known);
                               tell(e.from, HeartbeatReply{led_.epoch(), c, v, now - touched(now), steady(), h.sent});
                               if (h.known > led_.epoch() && pace_.due(led_.epoch(), now))
                                 out_.send(e.from, Catchup{led_.epoch()});
                               return true;
                             },
                             [&](const HeartbeatReply& h) {
                               learn(h.entries, h.checkpoint);
                               if (h.epoch > led_.epoch() && pace_.due(led_.epoch(), now))
                                 out_.send(e.from, Catchup{led_.epoch()});
                               if (!h.confirmed || h.epoch > led_.epoch()) return true;
                               if (auto& x = heard_[e.from]; x.inc != e.from_inc || x.sent < h.sent)
                                 x = {h.sent, e.from_inc};
                               if (!confirmed_ && led_.view()->cluster)
                                 confirmed_ =
                                     majority_time(*led_.view(), led_.view()->members, heard_, out_.id().self) >= born_;
                               return true;
                             },
                             [&](const auto&) { return false; }},
                    e.body);
}

Millis Follower::touched(Millis) const {
  auto& m = *led_.view();
  if (!m.cluster) return INT64_MIN / 2;
  auto at = [&](auto& v) { return majority_time(m, v, heard_, out_.id().self); };
  auto fleet = at(m.quorum);
  if (!m.incoming.empty()) fleet = std::min(fleet, at(m.incoming));
  return std::max(at(m.members), fleet);
}

bool Follower::park(const Envelope& e) {
  if (e.epoch <= led_.epoch() || !out_.cluster) return false;
  if (parked_.size() < limits::log_keep) parked_.push_back(e);
  out_.send(e.from, Catchup{led_.epoch()});
  return true;
}

std::vector<Envelope> Follower::unpark() {
  std::vector<Envelope> v;
  std::erase_if(parked_, [&](auto& e) {
    if (e.epoch > led_.epoch()) return false;
    v.push_back(e);
    return true;
  });
  return v;
}

void Follower::discover(Millis now) {
  next_discover_ = now + limits::discover;
  for (auto& a : out_.id().seeds)
    if (a != out_.id().self.addr) out_.send(a, Discover{out_.id().self});
}

void Follower::enroll(Millis now, const Candidate& c) {
  auto& m = *led_.view();
  auto* d = m.find(c.inc);
  auto state = d ? std::optional(d->state) : std::nullopt;
  if (state && state != enrolled_ && (!enrolled_ || *state == DaemonState::left))
    out_.note(*state == DaemonState::left ? Event::lost_identity : Event::registered,
              c.addr + " is daemon " + std::to_string(d->id.v));
  enrolled_ = state;
  auto* before = m.at(c.addr);
  bool vacated = !d && before && before->state == DaemonState::down && before->since != vacated_;
  if (vacated) vacated_ = before->since, next_enroll_ = now;
  if ((d && d->state != DaemonState::left) || now < next_enroll_ || m.members.empty()) return;
  if (d) return;
  next_enroll_ = now + limits::tcm_rpc / 2;
  for (size_t i = 0; i < m.members.size(); ++i) {
    auto* x = m.find(m.members[turn_++ % m.members.size()]);
    if (x->state == DaemonState::down) continue;
    return out_.send(x->self.addr, Commit{"register-" + hex(c.inc.v), Register{c}, led_.epoch()});
  }
}

void Follower::tick(Millis now, const Heartbeat* mine) {
  auto& m = *led_.view();
  if (now >= next_discover_ && (!m.cluster || now - touched(now) > limits::isolation)) discover(now);
  if (!m.cluster) return;
  if (mine) enroll(now, mine->self);
  if (now < next_beat_ && beaten_ == led_.epoch()) return;
  next_beat_ = now + limits::heartbeat;
  beaten_ = led_.epoch();
  Heartbeat h{};
  if (mine)
    h = *mine;
  else
    h.self = out_.id().self;
  h.known = led_.epoch();
  h.sent = now;
  for (auto id : m.members) tell(m.find(id)->self.addr, h);
  auto core = std::max(born_, majority_time(m, m.members, heard_, out_.id().self));
  if (now < next_peers_ || now - core < limits::core_quiet || !steady()) return;
  next_peers_ = now + limits::heartbeat * 2;
  for (auto& [id, d] : m.directory)
    if (d.self.role != Role::controller && d.state != DaemonState::left && d.state != DaemonState::down &&
        ear(d) != out_.id().self.addr)
      tell(ear(d), h);
}

}  // namespace mosskeel
