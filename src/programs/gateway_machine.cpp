#include "programs/gateway_machine.hpp"
#include "history/constants.hpp"
#include "programs/constants.hpp"
#include "replication/constants.hpp"

#include <algorithm>

namespace mosskeel {

GatewayMachine::GatewayMachine(const Identity& id, Millis now)
    : out_(id),
      follower_(out_, metadata_log_, now),
      history_writer_(out_, metadata_log_),
      reg_(out_, metadata_log_, history_writer_),
      turn_client_(out_, metadata_log_) {}

size_t GatewayMachine::count(Stage s) const {
  return static_cast<size_t>(std::count_if(works_.begin(), works_.end(), [&](auto& w) { return w.second.stage == s; }));
}

void GatewayMachine::on(const Envelope& e, const HeartbeatReply& h, Millis now) {
  if (e.from != out_.id().self.agent_address)
    return;
  follower_.apply_updates(h.entries, h.checkpoint);
  if (h.epoch > metadata_log_.epoch())
    out_.send(e.from, Catchup{metadata_log_.epoch()});
  hear_of(h.epoch, now);
  if (h.epoch <= metadata_log_.epoch())
    touched_ = std::max(touched_, h.sent - h.touched_ms);
  else if (!early_touch_)
    early_touch_ = {h.epoch, h.sent - h.touched_ms};
  confirmed_ = confirmed_ || (h.confirmed && h.epoch <= metadata_log_.epoch());
}

void GatewayMachine::hear_of(Epoch epoch, Millis now) {
  ahead_ = std::max(ahead_, epoch);
  if (!behind_ && ahead_ > metadata_log_.epoch())
    behind_ = {ahead_, now};
}

void GatewayMachine::caught_up(Millis now) {
  if (early_touch_ && early_touch_->first <= metadata_log_.epoch()) {
    touched_ = std::max(touched_, early_touch_->second);
    early_touch_.reset();
  }
  if (behind_ && behind_->epoch <= metadata_log_.epoch())
    behind_.reset();
  hear_of(metadata_log_.epoch(), now);
}

void GatewayMachine::handle(const Envelope& e, Millis now) {
  if (auto* h = std::get_if<HeartbeatReply>(&e.body))
    return on(e, *h, now);
  hear_of(e.epoch, now);
  if (follower_.handle(e, now) || follower_.defer(e, now))
    return;
  if (history_writer_.handle(e, now) || turn_client_.handle(e, now) || reg_.handle(e, now))
    return;
  std::visit(
      overload{[&](const ProgramRequest& x) { on(e, x, now); },
               [&](const ProgramRequestAcknowledgement& x) {
                 auto i = works_.find(x.attempt);
                 if (i == works_.end() || i->second.stage != Stage::proxying)
                   return;
                 auto* d = metadata_log_.view()->find(i->second.target);
                 if (d && d->self.incarnation == e.from_inc)
                   i->second.seen = true;
               },
               [&](const ProgramResponseChunk& x) { on(e, x, now); }, [&](const ProgramResponse& x) { on(e, x, now); },
               [&](const TransferTurnOutcome& x) { on(e, x, now); }, [&](const HistoryExpired& x) { on(e, x, now); },
               [&](const QueryTurnRunner& x) {
                 bool here = running_here(x.history, x.key) || turn_client_.is_in_flight(x.key);
                 out_.send(e.from, QueryTurnRunnerReply{x.history, x.key, here}, e.from_inc);
               },
               [&](const QueryTurnRunnerReply& x) {
                 auto* d = metadata_log_.view()->find(e.from_inc);
                 auto i = d ? runners_.find({x.history, x.key, d->id}) : runners_.end();
                 if (i != runners_.end())
                   i->second.over = i->second.over || !x.running;
               },
               [&](const TransferTurnOutcomeReply& x) {
                 auto i = works_.find(x.attempt);
                 if (i == works_.end() || i->second.stage != Stage::handing)
                   return;
                 auto& w = i->second;
                 if (w.again && x.outcome == Outcome::yes) {
                   w.again = false;
                   return route(w, now);
                 }
                 if (x.outcome == Outcome::yes)
                   out_.note(Event::turn_outcome_transferred, x.attempt);
                 else
                   w.end = {x.attempt, 502,   Outcome::unknown, "the outcome came too late to be kept", "", 0, 0,
                            0,         false, w.pieces};
                 end(w, now);
               },
               [&](const ReplicaCallChunk& x) { on(x, now); }, [&](const ReplicaCallResponse& x) { on(x, now); },
               [&](const auto&) {
               }},
      e.body);
}

Actions GatewayMachine::step(const Envelope& e, Millis now) {
  bool local = e.from.starts_with("local:") || e.from.starts_with("replica:");
  if (!local && follower_.is_foreign(e)) {
    out_.note(Event::foreign, "from " + e.from);
    return out_.take();
  }
  auto before = metadata_log_.epoch();
  handle(e, now);
  if (metadata_log_.epoch() != before) {
    caught_up(now);
    for (auto& p : follower_.take_deferred())
      handle(p, now);
    history_writer_.tick(now);
    turn_client_.tick(now);
    beat(now);
    sweep(now);
  }
  auto changed = history_writer_.take_changed();
  if (!changed.empty())
    reg_.advance(changed, now);
  for (auto& n : changed) {
    std::vector<std::string> v;
    for (auto& [a, w] : works_)
      if (w.history == n && w.stage != Stage::proxying)
        v.push_back(a);
    for (auto& a : v)
      if (auto i = works_.find(a); i != works_.end())
        advance(i->second, now);
    std::erase_if(lates_, [&](auto& l) { return late(l, now); });
  }
  drain_queue(now);
  return out_.take();
}

void GatewayMachine::beat(Millis now) {
  next_beat_ = now + kAgentHeartbeatInterval;
  beaten_ = metadata_log_.epoch();
  Heartbeat h{out_.id().self,
              metadata_log_.epoch(),
              static_cast<uint32_t>(works_.size()),
              {},
              static_cast<uint32_t>(works_.size()),
              now,
              stopping_,
              0};
  out_.send(out_.id().self.agent_address, h);
}

void GatewayMachine::sweep(Millis now) {
  next_sweep_ = now + kAgentHeartbeatInterval;
  std::vector<std::string> v;
  for (auto& [a, w] : works_)
    v.push_back(a);
  for (auto& a : v)
    if (auto i = works_.find(a); i != works_.end())
      advance(i->second, now);
  std::erase_if(lates_, [&](auto& l) { return late(l, now); });
  if (aged_.size() > kLogEntriesKept * kMaxExpiredPerScan)
    aged_.clear();
  std::erase_if(runners_, [&](auto& x) { return now - x.second.at > kIdleHistoryTimeout; });
  for (auto i = ended_.begin(); i != ended_.end();) {
    auto age = now - i->second.first;
    if (age > kResponseRetention)
      i->second.second.reset();
    i = age > kAttemptIdRetention ? ended_.erase(i) : std::next(i);
  }
}

Actions GatewayMachine::tick(Millis now) {
  if (now >= next_beat_)
    beat(now);
  history_writer_.tick(now);
  if (now >= next_sweep_)
    sweep(now);
  turn_client_.tick(now);
  reg_.tick(now);
  bool in = has_majority_contact(now);
  if (in != was_in_touch_)
    out_.note(in ? Event::majority_contact_restored : Event::majority_contact_lost,
              "epoch " + std::to_string(metadata_log_.epoch().value()));
  was_in_touch_ = in;
  drain_queue(now);
  auto* d = me();
  bool handed = !d || d->state == DaemonState::left || d->state == DaemonState::down ||
                (d->state == DaemonState::draining && !metadata_log_.view()->sequences.count(d->id));
  if (!works_.empty() || !lates_.empty() || turn_client_.waiting() || carried_)
    last_work_ = now;
  if (stopping_ && handed && now - last_work_ > kShutdownGracePeriod)
    out_.act.stop = true;
  return out_.take();
}

void GatewayMachine::on(const Envelope& e, const ProgramRequest& x, Millis now) {
  bool local = e.from.starts_with("local:");
  if (works_.count(x.attempt))
    return out_.send(e.from, ProgramRequestAcknowledgement{x.attempt}, e.from_inc);
  if (auto i = ended_.find(x.attempt); i != ended_.end()) {
    if (i->second.second)
      out_.send(e.from, *i->second.second, e.from_inc);
    return;
  }
  Work w;
  w.e = x;
  w.reply = e.from;
  w.reply_inc = local ? Incarnation{} : e.from_inc;
  w.born = now;
  w.seq = ++seq_;
  w.end.attempt = x.attempt;
  ++metrics_[local ? "requests_received" : "requests_forwarded_in"];
  auto& r = works_.emplace(x.attempt, std::move(w)).first->second;
  if (!local && e.epoch < metadata_log_.epoch() && r.e.kind != "history") {
    auto s = partition_of(x.cell, x.program);
    if (e.epoch < metadata_log_.view()->partitions[s.value()].term) {
      out_.note(Event::stale_epoch_rejected, x.attempt + " placed at " + std::to_string(e.epoch.value()));
      r.end.wrong_owner = true;
      return refuse(r, 503, "placed at an epoch too old for its slot", 0, now);
    }
  }
  if (!local)
    out_.send(e.from, ProgramRequestAcknowledgement{x.attempt}, e.from_inc);
  auto s = situation(now, r.e, !local);
  for (auto* p : policies()) {
    if (r.e.kind == "history" && p->order() > 10)
      break;
    if (auto f = p->judge(r.e, s))
      return refuse(r, f->status, f->reason, f->retry_ms, now);
  }
  r.deadline = now + (r.e.deadline_ms > 0 ? r.e.deadline_ms : kDefaultRequestTimeout);
  r.direct = r.e.kind == "app" && (r.e.idempotent || r.e.key == r.e.attempt);
  if (r.e.kind == "app" && !r.direct)
    r.e.program = "app:" + r.e.key, r.e.thread = r.e.key;
  if (r.direct)
    return enqueue(r);
  r.history = {r.e.cell, r.e.program};
  r.partition = partition_of(r.e.cell, r.e.program);
  route(r, now);
}

void GatewayMachine::route(Ref w, Millis now) {
  w.outcome_unknown = w.outcome_unknown || w.sent;
  w.sent = false;
  auto* o = owner(w.partition);
  if (o && o->self.incarnation == out_.id().self.incarnation) {
    w.stage = Stage::opening;
    w.last = now;
    return advance(w, now);
  }
  if (!w.reply.starts_with("local:")) {
    w.end.wrong_owner = true;
    return refuse(w, 503, "this worker does not own the program", 0, now);
  }
  w.stage = Stage::proxying;
  w.seen = false;
  w.target = o ? o->id : DaemonId{};
  w.asked = now;
  proxy(w, now);
}

void GatewayMachine::refuse(Ref w, uint32_t status, std::string reason, uint32_t retry, Millis now, Outcome ran) {
  if (ran == Outcome::no && (w.outcome_unknown || w.sent))
    ran = Outcome::unknown;
  w.end.status = status;
  w.end.executed = ran;
  w.end.reason = std::move(reason);
  w.end.retry_ms = retry + (retry ? static_cast<uint32_t>(out_.jitter(retry)) / 2 : 0);
  w.end.chunks = w.pieces;
  ++metrics_[ran == Outcome::unknown ? "requests_outcome_unknown" : "requests_rejected"];
  end(w, now);
}

void GatewayMachine::end(Ref w, Millis now) {
  free_replica(w);
  w.end.attempt = w.e.attempt;
  if (w.end.status == 200)
    ++metrics_["requests_succeeded"];
  out_.send(w.reply, w.end, w.reply_inc);
  auto a = w.e.attempt;
  auto x = w.end;
  bool keep = !w.reply.starts_with("local:") && !w.end.wrong_owner;
  works_.erase(a);
  if (keep)
    ended_[a] = {now, std::move(x)};
}

}  // namespace mosskeel
