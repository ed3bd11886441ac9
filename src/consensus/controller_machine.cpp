#include "consensus/controller_machine.hpp"
#include "consensus/constants.hpp"
#include "replication/constants.hpp"
#include "runtime/constants.hpp"

#include <algorithm>

namespace mosskeel {

ControllerMachine::ControllerMachine(const Identity& id, const Recovered& r, Millis now)
    : out_(id),
      acc_(out_, metadata_log_),
      detector_(now),
      lease_(out_, metadata_log_, detector_, now),
      sup_(out_, metadata_log_, detector_, lease_),
      prop_(out_, metadata_log_, acc_, [this](const Entry& e) { enact(e); }),
      born_(now) {
  if (r.checkpoint)
    if (auto c = codec::unpack<ControllerCheckpoint>(*r.checkpoint)) {
      metadata_log_.install_snapshot(c->metadata);
      acc_.recover(*c);
    }
  init_founders(r);
  for (auto& s : r.journal) {
    auto x = codec::unpack<ControllerRecord>(s);
    if (!x)
      continue;
    std::visit(
        overload{[&](const PromiseRecord& p) { acc_.recover(p); }, [&](const AcceptRecord& a) { acc_.recover(a); },
                 [&](const DecidedRecord& d) {
                   if (!metadata_log_.add(d.entry).empty())
                     acc_.moved_on();
                 },
                 [&](const JumpRecord& j) {
                   if (metadata_log_.install_snapshot(j.metadata))
                     acc_.moved_on();
                 },
                 [&](const FoundersRecord& f) {
                   founders_ = f.addresses;
                 }},
        *x);
  }
  out_.cluster = metadata_log_.view()->cluster;
  out_.epoch = metadata_log_.epoch();
  prop_.missing_acknowledgements = [this](Epoch at, Millis t) {
    return missing_acknowledgements(at, t);
  };
}

std::string ControllerMachine::checkpoint() const {
  ControllerCheckpoint c{};
  c.metadata = *metadata_log_.view();
  acc_.save(c);
  return codec::pack(c);
}

Actions ControllerMachine::done() {
  for (auto& s : out_.act.journal)
    grown_ += s.size();
  if (grown_ > kCheckpointJournalBytes) {
    out_.act.checkpoint = checkpoint();
    grown_ = 0;
  }
  return out_.take();
}

void ControllerMachine::enact(const Entry& e) {
  for (auto& x : metadata_log_.add(e)) {
    acc_.moved_on();
    out_.write(codec::pack(ControllerRecord{DecidedRecord{x}}));
    out_.cluster = metadata_log_.view()->cluster;
    out_.epoch = metadata_log_.epoch();
    out_.note(x.epoch.value() == 1 ? Event::founded : Event::decided,
              std::to_string(x.epoch.value()) + ": " + describe(x.change));
    for (auto& [id, d] : metadata_log_.view()->directory)
      if (d.state != DaemonState::left && d.self.incarnation != out_.id().self.incarnation)
        out_.send(d.self.agent_address.empty() ? d.self.address : d.self.agent_address, Decided{x});
  }
}

void ControllerMachine::learn(const Entries& v, const std::optional<Metadata>& c) {
  if (c && metadata_log_.install_snapshot(*c)) {
    acc_.moved_on();
    out_.write(codec::pack(ControllerRecord{JumpRecord{*c}}));
    out_.note(Event::caught_up, "checkpoint at " + std::to_string(c->epoch.value()));
  }
  for (auto& e : v)
    for (auto& x : metadata_log_.add(e)) {
      acc_.moved_on();
      out_.write(codec::pack(ControllerRecord{DecidedRecord{x}}));
    }
  if (out_.cluster != metadata_log_.view()->cluster)
    outdated_ = false;
  out_.cluster = metadata_log_.view()->cluster;
  out_.epoch = metadata_log_.epoch();
}

/// One that the core was founded anew without has no vote until it has caught up with the new generation.
bool ControllerMachine::may_vote(Millis now) const {
  return out_.cluster ? !outdated_ : may_found(now);
}

bool ControllerMachine::known_sender(const Envelope& e) const {
  if (e.to_inc.value() && e.to_inc != out_.id().self.incarnation)
    return false;
  if (e.cluster == 0 || out_.cluster == 0 || e.cluster == out_.cluster ||
      is_successor_cluster(*metadata_log_.view(), e.cluster))
    return true;
  auto& f = metadata_log_.view()->former_clusters;
  auto* d = metadata_log_.view()->find(e.from_inc);
  bool kin = std::find(f.begin(), f.end(), e.cluster) != f.end() && (!d || d->state != DaemonState::left);
  return kin && (std::holds_alternative<Heartbeat>(e.body) || std::holds_alternative<Catchup>(e.body) ||
                 std::holds_alternative<Discover>(e.body));
}

/// Somebody of an earlier generation learns of the new one. A controller gets the whole value, never entries: those
/// may not fit the log that it holds.
void ControllerMachine::answer_outsider(const Envelope& e) {
  auto& m = *metadata_log_.view();
  if (std::count(m.former_clusters.begin(), m.former_clusters.end(), e.cluster) == 0)
    return out_.note(Event::foreign, "from " + e.from);
  out_.send(e.from, DiscoverReply{out_.id().self, out_.cluster, metadata_log_.epoch(), {}, {}});
  auto* known = m.find(e.from_inc);
  bool catches_up = std::holds_alternative<Heartbeat>(e.body) || std::holds_alternative<Catchup>(e.body);
  if (known && known->self.role == Role::controller && catches_up)
    out_.send(e.from, CatchupReply{metadata_log_.epoch(), m, {}});
}

HeartbeatReply ControllerMachine::reply_to(const Heartbeat& h) const {
  auto [c, v] = metadata_log_.small_updates_since(h.known);
  return {metadata_log_.epoch(), c, v, 0, metadata_log_.view()->cluster != 0, h.sent};
}

Actions ControllerMachine::step(const Envelope& e, Millis now) {
  if (!known_sender(e)) {
    answer_outsider(e);
    return done();
  }
  if (!out_.cluster && e.cluster) {
    evidence_ = now;
    if (!std::holds_alternative<DiscoverReply>(e.body))
      out_.send(e.from, Catchup{metadata_log_.epoch()});
  }
  auto before = metadata_log_.epoch();
  handle(e, now);
  moved(before, now);
  return done();
}

void ControllerMachine::moved(Epoch before, Millis now) {
  if (metadata_log_.epoch() == before)
    return;
  prop_.tick(now);
  beat(now);
}

void ControllerMachine::handle(const Envelope& e, Millis now) {
  auto& self = out_.id().self;
  if (e.epoch > metadata_log_.epoch() && e.cluster == out_.cluster && out_.cluster &&
      !std::holds_alternative<Decided>(e.body) && !std::holds_alternative<CatchupReply>(e.body) &&
      !std::holds_alternative<HeartbeatReply>(e.body) && pace_.may_request(metadata_log_.epoch(), now))
    out_.send(e.from, Catchup{metadata_log_.epoch()});
  std::visit(
      overload{
          [&](const Discover& d) {
            DiscoverReply r{self, out_.cluster, metadata_log_.epoch(), {}, {}};
            if (out_.cluster)
              for (auto id : metadata_log_.view()->members)
                r.core.push_back(metadata_log_.view()->find(id)->self.address);
            else
              for (auto& [i, f] : fellows_)
                r.candidates.push_back(f.first);
            if (d.self.role == Role::controller && d.self.incarnation != self.incarnation)
              fellows_[d.self.incarnation] = {d.self, now};
            out_.send(e.from, r);
          },
          [&](const DiscoverReply& d) {
            if (out_.cluster) {
              if (d.cluster != out_.cluster && is_successor_cluster(*metadata_log_.view(), d.cluster) && !outdated_) {
                outdated_ = true;
                out_.note(Event::lost_identity, "the core was founded anew without this controller; empty its folder");
              }
              if (d.self.role == Role::controller && d.self.incarnation != self.incarnation)
                fellows_[d.self.incarnation] = {d.self, now};
              return;
            }
            if (d.cluster)
              return out_.send(e.from, Catchup{metadata_log_.epoch()});
            if (d.self.role == Role::controller && d.self.incarnation != self.incarnation)
              fellows_[d.self.incarnation] = {d.self, now};
            for (auto& c : d.candidates)
              if (c.incarnation != self.incarnation && !fellows_.count(c.incarnation))
                out_.send(c.address, Discover{self});
          },
          [&](const Prepare& p) {
            if (may_vote(now))
              acc_.on(e, p);
          },
          [&](const Accept& a) {
            if (may_vote(now))
              acc_.on(e, a);
          },
          [&](const RefoundRequest& r) { on(e, r, now); }, [&](const Promise& p) { prop_.on(e, p, now); },
          [&](const Accepted& a) { prop_.on(e, a, now); },
          [&](const Decided& d) {
            learn({d.entry}, std::nullopt);
            if (metadata_log_.has_gap())
              out_.send(e.from, Catchup{metadata_log_.epoch()});
          },
          [&](const Catchup& c) {
            auto [m, v] = metadata_log_.updates_since(c.known);
            out_.send(e.from, CatchupReply{metadata_log_.epoch(), m, v});
          },
          [&](const CatchupReply& c) { learn(c.entries, c.checkpoint); },
          [&](const QuorumRead& q) {
            if (metadata_log_.view()->is_core_member(self.incarnation))
              out_.send_synced(e.from, QuorumReadReply{q.id, metadata_log_.epoch(), acc_.open()}, e.from_inc);
          },
          [&](const QuorumReadReply& q) { prop_.on(e, q, now); },
          [&](const Commit& c) {
            if (outdated_)
              return out_.send(e.from, CommitReply{c.id,
                                                   CommitOutcome::unknown,
                                                   "this controller belongs to an earlier generation",
                                                   metadata_log_.epoch(),
                                                   std::nullopt,
                                                   {}});
            prop_.on(e, c, now);
          },
          [&](const CommitReply& c) {
            sup_.on(c);
            learn(c.entries, c.checkpoint);
          },
          [&](const Heartbeat& h) {
            detector_.record(h, now);
            if (h.leaving)
              lease_.on_resigned(h.self.incarnation, now);
            prop_.heard(now);
            if (e.from_inc != self.incarnation)
              out_.send_synced(e.from, reply_to(h));
          },
          [&](const HeartbeatReply& h) { learn(h.entries, h.checkpoint); },
          [&](const LeaseRequest& a) { lease_.on(e, a, now); }, [&](const LeaseGrant& g) { lease_.on(e, g, now); },
          [&](const auto&) {
          }},
      e.body);
}

void ControllerMachine::beat(Millis now) {
  next_beat_ = now + kHeartbeatInterval;
  beaten_ = metadata_log_.epoch();
  auto& self = out_.id().self;
  Heartbeat h{self, metadata_log_.epoch(), 0, {}, 0, now, leaving_since_.has_value(), 0};
  detector_.record(h, now);
  for (auto id : metadata_log_.view()->members)
    if (auto* d = metadata_log_.view()->find(id); d->self.incarnation != self.incarnation)
      out_.send_synced(d->self.address, h);
  auto* me = metadata_log_.view()->find(self.incarnation);
  if ((!me || me->state == DaemonState::left) && now >= next_register_ && !leaving_since_)
    register_self(now);
}

/// Asks one member after the other to put this controller into the directory, again if it was taken out of it.
void ControllerMachine::register_self(Millis now) {
  next_register_ = now + kRegistrationRetryInterval;
  auto& m = *metadata_log_.view();
  auto& self = out_.id().self;
  auto* me = m.find(self.incarnation);
  auto commit = "register-" + hex(self.incarnation.value()) + (me ? "-" + std::to_string(me->since.value()) : "");
  for (size_t i = 0; i < m.members.size(); ++i) {
    auto* d = m.find(m.members[register_tries_++ % m.members.size()]);
    if (d->state != DaemonState::down)
      return out_.send(d->self.address, Commit{commit, Register{self}, metadata_log_.epoch()});
  }
}

Actions ControllerMachine::tick(Millis now) {
  auto before = metadata_log_.epoch();
  if (!out_.cluster && now >= next_discover_)
    discover(now);
  if (leaving_since_)
    end_in_order(now);
  if (out_.cluster && now >= next_beat_)
    beat(now);
  if (out_.cluster && now >= next_survey_)
    survey(now);
  lease_.tick(now);
  sup_.tick(now);
  if (!acc_.open() || open_at_ != metadata_log_.epoch())
    open_since_ = now, open_at_ = metadata_log_.epoch();
  if (out_.cluster && now - open_since_ > kHeartbeatInterval * 2 && prop_.idle()) {
    open_since_ = now + out_.jitter(kProposalJitter);
    prop_.finish(now);
  }
  prop_.tick(now);
  moved(before, now);
  return done();
}

}  // namespace mosskeel
