// The owner's turn: history, key, budget, reservation, settlement.
#include <algorithm>

#include <nlohmann/json.hpp>

#include "history/constants.hpp"
#include "programs/constants.hpp"
#include "programs/gateway_machine.hpp"
#include "programs/model_request_body.hpp"
#include "routing/constants.hpp"
#include "runtime/constants.hpp"

namespace mosskeel {

void GatewayMachine::advance(Ref w, Millis now) {
  auto* o = w.direct ? nullptr : owner(w.partition);
  bool mine = o && o->self.incarnation == out_.id().self.incarnation;
  bool line_held = mine && history_writer_.term(w.history) == w.term && w.term.value();
  switch (w.stage) {
    case Stage::opening:
      if (!mine)
        return route(w, now);
      switch (history_writer_.open(w.history, now)) {
        case HistoryWriter::State::open:
          return opened(w, now);
        case HistoryWriter::State::unavailable:
          return refuse(w, 503, "too few stores answer", kDefaultRetryAfter * 2, now);
        default:
          return;
      }
    case Stage::waiting:
      if (!mine)
        return route(w, now);
      if (now - w.born > kMaxQueueWait)
        return refuse(w, 503, "the turn before this one is still running", kDefaultRetryAfter * 2, now);
      w.stage = Stage::opening;
      return advance(w, now);
    case Stage::queued:
      if (!w.direct && !mine)
        return route(w, now);
      if (now >= w.deadline || now - w.asked > kMaxQueueWait)
        return ++metrics_["requests_rejected_after_queueing"],
               refuse(w, 503, "no replica had a free place in time", kDefaultRetryAfter * 2, now);
      return;
    case Stage::reserving:
      if (!line_held) {
        free_replica(w);
        w.again = true;
        w.settled.kind = RecordKind::outcome;
        w.settled.status = 0;
        return hand_over(w, now);
      }
      if (history_writer_.committed_length(w.history) >= w.mark)
        return dispatch(w, now);
      return;
    case Stage::running:
      if (now >= w.deadline || now - w.last > kReplicaStallTimeout) {
        auto why = now >= w.deadline ? "the deadline passed while the turn was running" : "the replica fell silent";
        out_.send("replica:" + w.replica, CancelReplicaCall{w.e.attempt});
        nom_.back_off(w.replica, now);
        settle(w, 504, Outcome::unknown, why, w.reservation, now);
      }
      return;
    case Stage::settling:
      if (!line_held)
        return hand_over(w, now);
      if (history_writer_.committed_length(w.history) >= w.mark)
        return end(w, now);
      return;
    case Stage::handing:
      if (now - w.asked > kOutcomeTransferTimeout)
        return refuse(w, 502, "the outcome could not be kept", 0, now, Outcome::unknown);
      if (now - w.last >= kStoreRetryInterval)
        hand_over(w, now);
      return;
    case Stage::proxying: {
      if (now >= w.deadline)
        return refuse(w, 504, "the deadline passed", kDefaultRetryAfter, now);
      auto* t = metadata_log_.view()->find(w.target);
      bool gone = !t || t->state == DaemonState::down || t->state == DaemonState::left;
      if (o && o->id != w.target && (gone || !w.seen))
        return route(w, now);
      if (!w.seen && now - w.asked > kForwardAcknowledgementTimeout + kHistoryQuorumTimeout)
        return refuse(w, 503, "the program's owner does not answer", kDefaultRetryAfter, now);
      if (now - w.last >= kStoreRetryInterval * (w.seen ? 4 : 1))
        proxy(w, now);
      return;
    }
  }
}

bool GatewayMachine::running_elsewhere(const HistoryName& n, const Record& r, Millis now) {
  auto* d = metadata_log_.view()->find(r.runner);
  if (!d || d->self.incarnation == out_.id().self.incarnation || d->state == DaemonState::down ||
      d->state == DaemonState::left)
    return false;
  auto& x = runners_[{n, r.key, r.runner}];
  if (!x.over && now - x.at >= kStoreRetryInterval) {
    x.at = now;
    out_.send(d->self.address, QueryTurnRunner{n, r.key}, d->self.incarnation);
  }
  return !x.over;
}

bool GatewayMachine::running_here(const HistoryName& n, const std::string& key) const {
  return std::any_of(works_.begin(), works_.end(), [&](auto& x) {
    auto& w = x.second;
    return w.history == n && w.e.key == key && w.stage >= Stage::reserving && w.stage <= Stage::handing;
  });
}

void GatewayMachine::opened(Ref w, Millis now) {
  w.outcome_unknown = false;
  if (history_writer_.ended(w.history))
    return gone(w, now);
  if (w.e.kind == "history")
    return history(w, now);
  if (examine(w, now))
    enqueue(w);
}

/// Whether the turn may go on; otherwise it was answered, or waits.
bool GatewayMachine::examine(Ref w, Millis now) {
  auto& v = history_writer_.records(w.history);
  auto* c = metadata_log_.view()->configuration.cell(w.e.cell);
  if (!c)
    return refuse(w, 404, "cell '" + w.e.cell + "' is unknown", 0, now), false;
  std::map<std::string, const Record*> last, reservations;
  for (auto& r : v) {
    last[r.key] = &r;
    if (r.kind == RecordKind::reservation)
      reservations[r.key] = &r;
  }
  if (auto i = last.find(w.e.key);
      i != last.end() && !(i->second->kind == RecordKind::outcome && i->second->status == 0)) {
    auto& r = *i->second;
    if (reservations[w.e.key]->body_digest != digest(w.e.body + '\0' + w.e.path))
      return refuse(w, 409, "key: was used with another body", 0, now), false;
    if (r.kind == RecordKind::outcome && !history_writer_.is_committed(w.history, r))
      return refuse(w, 409, "key: this turn is running now", kDefaultRetryAfter * 2, now, Outcome::yes), false;
    if (r.kind == RecordKind::outcome) {
      w.end = {w.e.attempt,
               r.status,
               r.status == 200 ? Outcome::yes : Outcome::unknown,
               r.status == 200 ? "" : "kept outcome: " + r.output,
               r.status == 200 ? r.output : "",
               r.turn,
               r.tokens,
               0,
               false,
               0};
      return complete(w, now), false;
    }
    if (running_here(w.history, w.e.key) || running_elsewhere(w.history, r, now))
      return refuse(w, 409, "key: this turn is running now", kDefaultRetryAfter * 2, now, Outcome::yes), false;
    out_.note(Event::reservation_without_outcome, w.history.program + " key " + w.e.key);
    return refuse(w, 502, "the outcome of this turn is unknown; it will not be run again", 0, now, Outcome::unknown),
           false;
  }
  uint64_t spent = 0;
  uint32_t turns = 0;
  bool busy = false;
  for (auto& [k, r] : last) {
    bool open = r->kind == RecordKind::reservation;
    if (open || r->status != 0)
      spent += r->tokens;
    if (r->thread != w.e.thread)
      continue;
    if (!open && r->status == 200)
      ++turns;
    if (open && (running_here(w.history, k) || running_elsewhere(w.history, *r, now)))
      busy = true;
  }
  if (w.e.kind == "model" && w.e.expected_turns && *w.e.expected_turns > 0 && turns == 0)
    return refuse(w, 404, "the conversation is missing: a majority of its stores keeps no such turns", 0, now), false;
  if (busy) {
    auto waiting = std::count_if(works_.begin(), works_.end(), [&](auto& x) {
      return x.second.history == w.history && x.second.stage == Stage::waiting;
    });
    if (static_cast<uint32_t>(waiting) >= kMaxQueuedTurnsPerThread)
      return refuse(w, 503, "too many turns wait for the one before them", kDefaultRetryAfter * 2, now), false;
    w.stage = Stage::waiting;
    return false;
  }
  if (w.e.kind == "model" && w.e.expected_turns && *w.e.expected_turns != turns)
    return refuse(w, 409, "after: the thread has " + std::to_string(turns) + " settled turns", 0, now), false;
  if (w.e.kind == "model" && spent >= c->budget)
    return refuse(w, 429, "the program's budget of " + std::to_string(c->budget) + " tokens is spent", 0, now), false;
  w.reservation = w.e.kind == "model" ? w.e.max_tokens : 0;
  w.turn = turns + 1;
  w.term = history_writer_.term(w.history);
  return true;
}

void GatewayMachine::reserve(Ref w, Millis now) {
  Record r{};
  r.kind = RecordKind::reservation;
  r.key = w.e.key;
  r.thread = w.e.thread;
  r.body_digest = digest(w.e.body + '\0' + w.e.path);
  r.tokens = w.reservation;
  r.turn = w.turn;
  r.runner = me()->id;
  r.input = w.e.body;
  r.retention_ms = metadata_log_.view()->configuration.cell(w.e.cell)->retention_ms;
  w.settled = r;
  w.stage = Stage::reserving;
  w.mark = history_writer_.append(w.history, r, now);
}

void GatewayMachine::settle(Ref w, uint32_t status, Outcome ran, std::string reason, uint64_t tokens, Millis now) {
  free_replica(w);
  w.end = {w.e.attempt, status ? status : 503,           ran,   reason,  status == 200 ? w.text : "", w.turn,
           tokens,      status ? 0 : kDefaultRetryAfter, false, w.pieces};
  if (w.direct)
    return end(w, now);
  auto& r = w.settled;
  r.kind = RecordKind::outcome;
  r.status = status;
  r.tokens = tokens;
  r.output = status == 200 ? w.text : reason;
  r.input.clear();
  if (auto* c = metadata_log_.view()->configuration.cell(w.e.cell))
    r.retention_ms = std::max(r.retention_ms, c->retention_ms);
  if (history_writer_.term(w.history) != w.term) {
    w.asked = now;
    return hand_over(w, now);
  }
  w.stage = Stage::settling;
  w.mark = history_writer_.append(w.history, r, now);
}

void GatewayMachine::hand_over(Ref w, Millis now) {
  if (w.stage != Stage::handing)
    w.asked = now;
  w.stage = Stage::handing;
  w.last = now;
  auto* o = owner(w.partition);
  if (o)
    out_.send(o->self.address, TransferTurnOutcome{w.e.attempt, w.history, w.settled}, o->self.incarnation);
}

void GatewayMachine::on(const Envelope& e, const TransferTurnOutcome& x, Millis now) {
  for (auto& l : lates_)
    if (std::get<TransferTurnOutcome>(l.from.body).attempt == x.attempt)
      return;
  Late l{e, 0, now, {}};
  if (!late(l, now))
    lates_.push_back(std::move(l));
}

bool GatewayMachine::late(Late& l, Millis now) {
  auto& x = std::get<TransferTurnOutcome>(l.from.body);
  auto say = [&](Outcome o) {
    return out_.send(l.from.from, TransferTurnOutcomeReply{x.attempt, o}, l.from.from_inc), true;
  };
  auto s = history_writer_.open(x.history, now);
  if (s == HistoryWriter::State::fenced || now - l.born > kOutcomeTransferTimeout)
    return true;
  if (s != HistoryWriter::State::open)
    return false;
  if (history_writer_.ended(x.history))
    return say(Outcome::no);
  if (l.mark && l.term == history_writer_.term(x.history))
    return history_writer_.committed_length(x.history) >= l.mark ? say(Outcome::yes) : false;
  const Record *last = nullptr, *after = nullptr;
  for (auto& r : history_writer_.records(x.history)) {
    if (r.key == x.record.key)
      last = &r, after = nullptr;
    else if (last && r.thread == x.record.thread)
      after = &r;
  }
  if (!last)
    return say(x.record.status == 0 ? Outcome::yes : Outcome::no);
  if (last->kind == RecordKind::outcome && !history_writer_.is_committed(x.history, *last))
    return false;
  if (last->kind == RecordKind::outcome)
    return say(last->status == x.record.status && last->output == x.record.output ? Outcome::yes : Outcome::no);
  if (last->runner != x.record.runner || after)
    return say(Outcome::no);
  l.term = history_writer_.term(x.history);
  l.mark = history_writer_.append(x.history, x.record, now);
  return false;
}

}  // namespace mosskeel
