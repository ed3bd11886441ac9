#include "replication/follower.hpp"
#include "replication/constants.hpp"
#include "runtime/constants.hpp"

#include <algorithm>

namespace mosskeel {
namespace {

const Address& ear(const Daemon& d) {
  return d.self.agent_address.empty() ? d.self.address : d.self.agent_address;
}

}  // namespace

/// The time by which a majority of these daemons, ourselves left out, had been heard.
Millis Follower::majority_time(const Metadata& m, const std::vector<DaemonId>& v, const Voices& heard,
                               const Candidate& but) {
  std::vector<Millis> t;
  for (auto id : v) {
    auto* d = m.find(id);
    if (!d || d->self.incarnation == but.incarnation || ear(*d) == but.address)
      continue;
    auto i = heard.find(ear(*d));
    bool same = i != heard.end() && (d->self.role == Role::front || i->second.incarnation == d->self.incarnation);
    t.push_back(same ? i->second.sent : INT64_MIN / 2);
  }
  if (t.empty())
    return INT64_MIN / 2;
  std::sort(t.rbegin(), t.rend());
  return t[majority_of(t.size()) - 1];
}

void Follower::tell(const Address& to, Message m) {
  if (durable_)
    out_.send_synced(to, std::move(m));
  else
    out_.send(to, std::move(m));
}

bool Follower::is_foreign(const Envelope& e) const {
  if (e.to_inc.value() && e.to_inc != out_.id().self.incarnation)
    return true;
  return e.cluster && out_.cluster && e.cluster != out_.cluster &&
         !is_successor_cluster(*metadata_log_.view(), e.cluster);
}

void Follower::apply_updates(const Entries& v, const std::optional<Metadata>& c) {
  if (c && metadata_log_.install_snapshot(*c)) {
    out_.note(Event::caught_up, "checkpoint at " + std::to_string(c->epoch.value()));
    if (on_snapshot)
      on_snapshot(*c);
  }
  for (auto& e : v)
    for (auto& x : metadata_log_.add(e))
      if (on_entry)
        on_entry(x);
  out_.cluster = metadata_log_.view()->cluster;
  out_.epoch = metadata_log_.epoch();
  hear_early();
}

void Follower::hear(const Address& from, const Voice& v) {
  if (auto& x = heard_[from]; x.sent < v.sent)
    x = v;
  if (!confirmed_ && metadata_log_.view()->cluster)
    confirmed_ = majority_time(*metadata_log_.view(), metadata_log_.view()->members, heard_, out_.id().self) >= born_;
}

void Follower::hear_early() {
  for (auto i = early_.begin(); i != early_.end();) {
    if (i->second.epoch > metadata_log_.epoch()) {
      ++i;
      continue;
    }
    hear(i->first, i->second.voice);
    i = early_.erase(i);
  }
}

bool Follower::handle(const Envelope& e, Millis now) {
  return std::visit(overload{[&](const Discover&) {
                               DiscoverReply r{out_.id().self, out_.cluster, metadata_log_.epoch(), {}, {}};
                               for (auto id : metadata_log_.view()->members)
                                 r.core.push_back(metadata_log_.view()->find(id)->self.address);
                               out_.send(e.from, r);
                               return true;
                             },
                             [&](const DiscoverReply& d) {
                               if (out_.cluster || !d.cluster)
                                 return true;
                               out_.send(e.from, Catchup{metadata_log_.epoch()});
                               for (auto& a : d.core)
                                 if (a != e.from)
                                   out_.send(a, Catchup{metadata_log_.epoch()});
                               return true;
                             },
                             [&](const Decided& d) {
                               apply_updates({d.entry}, std::nullopt);
                               if (metadata_log_.has_gap() && pace_.may_request(metadata_log_.epoch(), now))
                                 out_.send(e.from, Catchup{metadata_log_.epoch()});
                               return true;
                             },
                             [&](const Catchup& c) {
                               auto [m, v] = metadata_log_.updates_since(c.known);
                               if (m || !v.empty())
                                 out_.send(e.from, CatchupReply{metadata_log_.epoch(), m, v});
                               return true;
                             },
                             [&](const CatchupReply& c) { return apply_updates(c.entries, c.checkpoint), true; },
                             [&](const CommitReply& c) { return apply_updates(c.entries, c.checkpoint), true; },
                             [&](const Heartbeat& h) {
                               auto [c, v] = metadata_log_.small_updates_since(h.known);
                               tell(e.from,
                                    HeartbeatReply{metadata_log_.epoch(), c, v, now - last_majority_contact(now),
                                                   reports_stable_epoch(), h.sent});
                               if (h.known > metadata_log_.epoch() && pace_.may_request(metadata_log_.epoch(), now))
                                 out_.send(e.from, Catchup{metadata_log_.epoch()});
                               return true;
                             },
                             [&](const HeartbeatReply& h) {
                               apply_updates(h.entries, h.checkpoint);
                               if (h.epoch > metadata_log_.epoch() && pace_.may_request(metadata_log_.epoch(), now))
                                 out_.send(e.from, Catchup{metadata_log_.epoch()});
                               if (!h.confirmed)
                                 return true;
                               if (h.epoch <= metadata_log_.epoch())
                                 hear(e.from, {h.sent, e.from_inc});
                               else
                                 // The first one stays: later ones, of ever later epochs, might never come true.
                                 early_.try_emplace(e.from, EarlyVoice{{h.sent, e.from_inc}, h.epoch});
                               return true;
                             },
                             [&](const auto&) {
                               return false;
                             }},
                    e.body);
}

Millis Follower::last_majority_contact(Millis) const {
  auto& m = *metadata_log_.view();
  if (!m.cluster)
    return INT64_MIN / 2;
  auto at = [&](auto& v) {
    return majority_time(m, v, heard_, out_.id().self);
  };
  auto fleet = at(m.quorum_members);
  if (!m.incoming_quorum_members.empty())
    fleet = std::min(fleet, at(m.incoming_quorum_members));
  return std::max(at(m.members), fleet);
}

bool Follower::defer(const Envelope& e, Millis now) {
  if (e.epoch <= metadata_log_.epoch() || !out_.cluster)
    return false;
  if (parked_.size() < kLogEntriesKept)
    parked_.push_back(e);
  if (pace_.may_request(metadata_log_.epoch(), now))
    out_.send(e.from, Catchup{metadata_log_.epoch()});
  return true;
}

std::vector<Envelope> Follower::take_deferred() {
  std::vector<Envelope> v;
  std::erase_if(parked_, [&](auto& e) {
    if (e.epoch > metadata_log_.epoch())
      return false;
    v.push_back(e);
    return true;
  });
  return v;
}

void Follower::discover(Millis now) {
  next_discover_ = now + kDiscoveryInterval;
  for (auto& a : out_.id().seeds)
    if (a != out_.id().self.address)
      out_.send(a, Discover{out_.id().self});
}

void Follower::enroll(Millis now, const Candidate& c) {
  auto& m = *metadata_log_.view();
  auto* d = m.find(c.incarnation);
  auto state = d ? std::optional(d->state) : std::nullopt;
  if (state && state != enrolled_ && (!enrolled_ || *state == DaemonState::left))
    out_.note(*state == DaemonState::left ? Event::lost_identity : Event::registered,
              c.address + " is daemon " + std::to_string(d->id.value()));
  enrolled_ = state;
  auto* before = m.find_at(c.address);
  bool vacated = !d && before && before->state == DaemonState::down && before->since != vacated_;
  if (vacated)
    vacated_ = before->since, next_enroll_ = now;
  if ((d && d->state != DaemonState::left) || now < next_enroll_ || m.members.empty())
    return;
  if (d)
    return;
  next_enroll_ = now + kCommitAttemptTimeout / 2;
  for (size_t i = 0; i < m.members.size(); ++i) {
    auto* x = m.find(m.members[turn_++ % m.members.size()]);
    if (x->state == DaemonState::down)
      continue;
    return out_.send(x->self.address,
                     Commit{"register-" + hex(c.incarnation.value()), Register{c}, metadata_log_.epoch()});
  }
}

void Follower::tick(Millis now, const Heartbeat* mine) {
  auto& m = *metadata_log_.view();
  if (now >= next_discover_ && (!m.cluster || now - last_majority_contact(now) > kIsolationTimeout))
    discover(now);
  if (!m.cluster)
    return;
  if (mine)
    enroll(now, mine->self);
  if (now < next_beat_ && beaten_ == metadata_log_.epoch())
    return;
  next_beat_ = now + kHeartbeatInterval;
  beaten_ = metadata_log_.epoch();
  Heartbeat h{};
  if (mine)
    h = *mine;
  else
    h.self = out_.id().self;
  h.known = metadata_log_.epoch();
  h.sent = now;
  for (auto id : m.members)
    tell(m.find(id)->self.address, h);
  auto core = std::max(born_, majority_time(m, m.members, heard_, out_.id().self));
  if (now < next_peers_ || now - core < kCoreSilenceTimeout || !reports_stable_epoch())
    return;
  next_peers_ = now + kHeartbeatInterval * 2;
  for (auto& [id, d] : m.directory)
    if (d.self.role != Role::controller && d.state != DaemonState::left && d.state != DaemonState::down &&
        ear(d) != out_.id().self.address)
      tell(ear(d), h);
}

}  // namespace mosskeel
