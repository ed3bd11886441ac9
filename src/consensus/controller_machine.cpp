#include "consensus/controller_machine.hpp"

#include <algorithm>

namespace mosskeel {

ControllerMachine::ControllerMachine(const Identity& id, const Recovered& r, Millis now)
    : out_(id),
      acc_(out_, led_),
      detector_(now),
      lease_(out_, led_, detector_, now),
      sup_(out_, led_, detector_, lease_),
      prop_(out_, led_, acc_, [this](const Entry& e) { enact(e); }),
      born_(now) {
  if (r.checkpoint)
    if (auto c = codec::unpack<ControllerCheckpoint>(*r.checkpoint)) {
      led_.jump(c->metadata);
      acc_.recover(*c);
    }
  init_founders(r);
  for (auto& s : r.journal) {
    auto x = codec::unpack<ControllerRecord>(s);
    if (!x) continue;
    std::visit(
        overload{[&](const PromiseRecord& p) { acc_.recover(p); }, [&](const AcceptRecord& a) { acc_.recover(a); },
                 [&](const DecidedRecord& d) {
                   if (!led_.add(d.entry).empty()) acc_.moved_on();
                 },
                 [&](const JumpRecord& j) {
                   if (led_.jump(j.metadata)) acc_.moved_on();
                 },
                 [&](const FoundersRecord& f) { founders_ = f.addresses; }},
        *x);
  }
  out_.cluster = led_.view()->cluster;
  out_.epoch = led_.epoch();
  prop_.lacking = [this](Epoch at, Millis t) { return lacking(at, t); };
}

std::string ControllerMachine::checkpoint() const {
  ControllerCheckpoint c{};
  c.metadata = *led_.view();
  acc_.save(c);
  return codec::pack(c);
}

Actions ControllerMachine::done() {
  for (auto& s : out_.act.journal) grown_ += s.size();
  if (grown_ > limits::checkpoint_bytes) {
    out_.act.checkpoint = checkpoint();
    grown_ = 0;
  }
  return out_.take();
}

void ControllerMachine::enact(const Entry& e) {
  for (auto& x : led_.add(e)) {
    acc_.moved_on();
    out_.write(codec::pack(ControllerRecord{DecidedRecord{x}}));
    out_.cluster = led_.view()->cluster;
    out_.epoch = led_.epoch();
    out_.note(x.epoch.v == 1 ? Event::founded : Event::decided, std::to_string(x.epoch.v) + ": " + describe(x.change));
    for (auto& [id, d] : led_.view()->directory)
      if (d.state != DaemonState::left && d.self.inc != out_.id().self.inc)
        out_.send(d.self.agent.empty() ? d.self.addr : d.self.agent, Decided{x});
  }
}

void ControllerMachine::learn(const Entries& v, const std::optional<Metadata>& c) {
  if (c && led_.jump(*c)) {
    acc_.moved_on();
    out_.write(codec::pack(ControllerRecord{JumpRecord{*c}}));
    out_.note(Event::caught_up, "checkpoint at " + std::to_string(c->epoch.v));
  }
  for (auto& e : v)
    for (auto& x : led_.add(e)) {
      acc_.moved_on();
      out_.write(codec::pack(ControllerRecord{DecidedRecord{x}}));
    }
  if (out_.cluster != led_.view()->cluster) outdated_ = false;
  out_.cluster = led_.view()->cluster;
  out_.epoch = led_.epoch();
}

/// One that the core was founded anew without has no vote until it has caught up with the new generation.
bool ControllerMachine::may_vote(Millis now) const {
  return out_.cluster ? !outdated_ : may_found(now);
}

bool ControllerMachine::known_sender(const Envelope& e) const {
  if (e.to_inc.v && e.to_inc != out_.id().self.inc) return false;
  if (e.cluster == 0 || out_.cluster == 0 || e.cluster == out_.cluster || succeeds(*led_.view(), e.cluster))
    return true;
  auto& f = led_.view()->former;
  auto* d = led_.view()->find(e.from_inc);
  bool kin = std::find(f.begin(), f.end(), e.cluster) != f.end() && (!d || d->state != DaemonState::left);
  return kin && (std::holds_alternative<Heartbeat>(e.body) || std::holds_alternative<Catchup>(e.body) ||
                 std::holds_alternative<Discover>(e.body));
}

/// Somebody of an earlier generation learns of the new one. A controller gets the whole value, never entries: those
/// may not fit the log that it holds.
void ControllerMachine::answer_outsider(const Envelope& e) {
  auto& m = *led_.view();
  if (std::count(m.former.begin(), m.former.end(), e.cluster) == 0) return out_.note(Event::foreign, "from " + e.from);
  out_.send(e.from, DiscoverReply{out_.id().self, out_.cluster, led_.epoch(), {}, {}});
  auto* known = m.find(e.from_inc);
  bool catches_up = std::holds_alternative<Heartbeat>(e.body) || std::holds_alternative<Catchup>(e.body);
  if (known && known->self.role == Role::controller && catches_up) out_.send(e.from, CatchupReply{led_.epoch(), m, {}});
}

HeartbeatReply ControllerMachine::reply_to(const Heartbeat& h) const {
  auto [c, v] = led_.little_since(h.known);
  return {led_.epoch(), c, v, 0, led_.view()->cluster != 0, h.sent};
}

Actions ControllerMachine::step(const Envelope& e, Millis now) {
  if (!known_sender(e)) {
    answer_outsider(e);
    return done();
  }
  if (!out_.cluster && e.cluster) {
    evidence_ = now;
    if (!std::holds_alternative<DiscoverReply>(e.body)) out_.send(e.from, Catchup{led_.epoch()});
  }
  auto before = led_.epoch();
  handle(e, now);
  moved(before, now);
  return done();
}

void ControllerMachine::moved(Epoch before, Millis now) {
  if (led_.epoch() == before) return;
  prop_.tick(now);
  beat(now);
}

void ControllerMachine::handle(const Envelope& e, Millis now) {
  auto& self = out_.id().self;
  if (e.epoch > led_.epoch() && e.cluster == out_.cluster && out_.cluster && !std::holds_alternative<Decided>(e.body) &&
      !std::holds_alternative<CatchupReply>(e.body) && !std::holds_alternative<HeartbeatReply>(e.body) &&
      pace_.due(led_.epoch(), now))
    out_.send(e.from, Catchup{led_.epoch()});
  std::visit(overload{[&](const Discover& d) {
                        DiscoverReply r{self, out_.cluster, led_.epoch(), {}, {}};
                        if (out_.cluster)
                          for (auto id : led_.view()->members) r.core.push_back(led_.view()->find(id)->self.addr);
                        else
                          for (auto& [i, f] : fellows_) r.candidates.push_back(f.first);
                        if (d.self.role == Role::controller && d.self.inc != self.inc)
                          fellows_[d.self.inc] = {d.self, now};
                        out_.send(e.from, r);
                      },
                      [&](const DiscoverReply& d) {
                        if (out_.cluster) {
                          if (d.cluster != out_.cluster && succeeds(*led_.view(), d.cluster) && !outdated_) {
                            outdated_ = true;
                            out_.note(Event::lost_identity,
                                      "the core was founded anew without this controller; empty its folder");
                          }
                          if (d.self.role == Role::controller && d.self.inc != self.inc)
                            fellows_[d.self.inc] = {d.self, now};
                          return;
                        }
                        if (d.cluster) return out_.send(e.from, Catchup{led_.epoch()});
                        if (d.self.role == Role::controller && d.self.inc != self.inc)
                          fellows_[d.self.inc] = {d.self, now};
                        for (auto& c : d.candidates)
                          if (c.inc != self.inc && !fellows_.count(c.inc)) out_.send(c.addr, Discover{self});
                      },
                      [&](const Prepare& p) {
                        if (may_vote(now)) acc_.on(e, p);
                      },
                      [&](const Accept& a) {
                        if (may_vote(now)) acc_.on(e, a);
                      },
                      [&](const Rebuild& r) { on(e, r, now); }, [&](const Promise& p) { prop_.on(e, p, now); },
                      [&](const Accepted& a) { prop_.on(e, a, now); },
                      [&](const Decided& d) {
                        learn({d.entry}, std::nullopt);
                        if (led_.gap()) out_.send(e.from, Catchup{led_.epoch()});
                      },
                      [&](const Catchup& c) {
                        auto [m, v] = led_.since(c.known);
                        out_.send(e.from, CatchupReply{led_.epoch(), m, v});
                      },
                      [&](const CatchupReply& c) { learn(c.entries, c.checkpoint); },
                      [&](const QuorumRead& q) {
                        if (led_.view()->member(self.inc))
                          out_.send_synced(e.from, QuorumReadReply{q.id, led_.epoch(), acc_.open()}, e.from_inc);
                      },
                      [&](const QuorumReadReply& q) { prop_.on(e, q, now); },
                      [&](const Commit& c) {
                        if (outdated_)
                          return out_.send(e.from, CommitReply{c.id,
                                                               Outcome::unknown,
                                                               "this controller belongs to an earlier generation",
                                                               led_.epoch(),
                                                               std::nullopt,
                                                               {}});
                        prop_.on(e, c, now);
                      },
                      [&](const CommitReply& c) {
                        sup_.on(c);
                        learn(c.entries, c.checkpoint);
                      },
                      [&](const Heartbeat& h) {
                        detector_.hear(h, now);
                        if (h.leaving) lease_.on_resigned(h.self.inc, now);
                        prop_.heard(now);
                        if (e.from_inc != self.inc) out_.send_synced(e.from, reply_to(h));
                      },
                      [&](const HeartbeatReply& h) { learn(h.entries, h.checkpoint); },
                      [&](const LeaseRequest& a) { lease_.on(e, a, now); },
                      [&](const LeaseGrant& g) { lease_.on(e, g, now); }, [&](const auto&) {}},
             e.body);
}

void ControllerMachine::beat(Millis now) {
  next_beat_ = now + limits::heartbeat;
  beaten_ = led_.epoch();
  auto& self = out_.id().self;
  Heartbeat h{self, led_.epoch(), 0, {}, 0, now, leaving_since_.has_value(), 0};
  detector_.hear(h, now);
  for (auto id : led_.view()->members)
    if (auto* d = led_.view()->find(id); d->self.inc != self.inc) out_.send_synced(d->self.addr, h);
  auto* me = led_.view()->find(self.inc);
  if ((!me || me->state == DaemonState::left) && now >= next_register_ && !leaving_since_) register_self(now);
}

/// Asks one member after the other to put this controller into the directory, again if it was taken out of it.
void ControllerMachine::register_self(Millis now) {
  next_register_ = now + limits::register_retry;
  auto& m = *led_.view();
  auto& self = out_.id().self;
  auto* me = m.find(self.inc);
  auto commit = "register-" + hex(self.inc.v) + (me ? "-" + std::to_string(me->since.v) : "");
  for (size_t i = 0; i < m.members.size(); ++i) {
    auto* d = m.find(m.members[register_tries_++ % m.members.size()]);
    if (d->state != DaemonState::down) return out_.send(d->self.addr, Commit{commit, Register{self}, led_.epoch()});
  }
}

Actions ControllerMachine::tick(Millis now) {
  auto before = led_.epoch();
  if (!out_.cluster && now >= next_discover_) discover(now);
  if (leaving_since_) end_in_order(now);
  if (out_.cluster && now >= next_beat_) beat(now);
  if (out_.cluster && now >= next_survey_) survey(now);
  lease_.tick(now);
  sup_.tick(now);
  if (!acc_.open() || open_at_ != led_.epoch()) open_since_ = now, open_at_ = led_.epoch();
  if (out_.cluster && now - open_since_ > limits::heartbeat * 2 && prop_.idle()) {
    open_since_ = now + out_.jitter(limits::paxos_jitter);
    prop_.finish(now);
  }
  prop_.tick(now);
  moved(before, now);
  return done();
}

}  // namespace mosskeel
