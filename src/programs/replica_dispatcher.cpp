// The queue for replicas, the single dispatch, and what comes back.
#include <algorithm>

#include <nlohmann/json.hpp>

#include "programs/constants.hpp"
#include "programs/gateway_machine.hpp"
#include "programs/model_request_body.hpp"
#include "runtime/constants.hpp"

namespace mosskeel {

void GatewayMachine::enqueue(Ref w) {
  w.stage = Stage::queued;
  if (w.asked == 0)
    w.asked = w.born;
  queue_.push({w.e.urgent, w.seq, w.e.attempt});
}

/// How long a request that came now would wait: those before it, at the pace at which the queue was seen to move.
Millis GatewayMachine::expected_wait(const std::string& kind, bool urgent) const {
  auto i = paces_.find(kind);
  if (i == paces_.end())
    return 0;
  auto before = std::count_if(works_.begin(), works_.end(), [&](auto& x) {
    auto& w = x.second;
    return w.e.kind == kind && (w.stage == Stage::queued || w.stage == Stage::opening) && (!urgent || w.e.urgent);
  });
  return static_cast<Millis>(static_cast<double>(before) * i->second.interval);
}

/// A request left the queue; the time since the one before it counts while others wait.
void GatewayMachine::paced(const std::string& kind, Millis now) {
  auto& p = paces_[kind];
  bool busy = p.last && count(Stage::queued) > 1;
  if (busy)
    p.interval += (static_cast<double>(std::min(now - p.last, kMaxQueueWait)) - p.interval) * kQueuePaceSmoothing;
  p.last = now;
}

void GatewayMachine::drain_queue(Millis now) {
  std::vector<Key> back;
  auto* d = me();
  while (!queue_.empty() && d) {
    auto k = queue_.top();
    queue_.pop();
    auto i = works_.find(k.attempt);
    if (i == works_.end() || i->second.stage != Stage::queued)
      continue;
    auto& w = i->second;
    bool any = false;
    auto* r = has_majority_contact(now) ? nom_.select_replica(w.e, *metadata_log_.view(), *d, now, any) : nullptr;
    if (!r) {
      if (any)
        back.push_back(k);
      else
        refuse(w, 503, "no replica serves this route now", kDefaultRetryAfter * 2, now);
      continue;
    }
    if (!w.direct) {
      if (history_writer_.open(w.history, now) != HistoryWriter::State::open ||
          history_writer_.term(w.history) != w.term) {
        route(w, now);
        continue;
      }
      if (history_writer_.ended(w.history)) {
        gone(w, now);
        continue;
      }
      if (!examine(w, now))
        continue;
    }
    w.replica = r->name;
    nom_.took(r->name, w.e);
    paced(w.e.kind, now);
    if (w.direct)
      dispatch(w, now);
    else
      reserve(w, now);
  }
  for (auto& k : back)
    queue_.push(k);
}

void GatewayMachine::free_replica(Ref w) {
  if (!w.replica.empty())
    nom_.gave(w.replica, w.e);
  w.replica.clear();
}

void GatewayMachine::dispatch(Ref w, Millis now) {
  auto& m = *metadata_log_.view();
  auto i = m.replicas.find(w.replica);
  bool fit = i != m.replicas.end() && me() && nom_.usable_capacity(i->second, m, *me(), now) > 0;
  if (!fit || !has_majority_contact(now) || now >= w.deadline)
    return settle(w, 0, Outcome::no, "the replica left before the request reached it", 0, now);
  w.stage = Stage::running;
  w.last = now;
  ReplicaCall a{w.e.attempt, w.e.kind, i->second.url, w.e.method, w.e.body, w.deadline - now, w.e.idempotent};
  if (w.e.kind == "model") {
    std::vector<ChainLink> chain;
    std::map<std::string, std::string> input;
    for (auto& r : history_writer_.records(w.history)) {
      if (r.thread != w.e.thread)
        continue;
      if (r.kind == RecordKind::reservation)
        input[r.key] = r.input;
      else if (r.status == 200)
        chain.push_back({input[r.key], r.output});
    }
    a.method = "POST";
    a.url += "/turn";
    a.body = model_body(w.e, chain, w.reservation);
  } else {
    a.url += w.e.path;
  }
  ++metrics_["dispatches"];
  out_.send("replica:" + w.replica, std::move(a));
}

void GatewayMachine::on(const ReplicaCallChunk& p, Millis now) {
  auto i = works_.find(p.attempt);
  if (i == works_.end() || i->second.stage != Stage::running)
    return;
  auto& w = i->second;
  w.last = now;
  auto fail = [&](const std::string& why) {
    out_.note(Event::replica_fault, w.replica + ": " + why);
    ++metrics_["replica_faults"];
    out_.send("replica:" + w.replica, CancelReplicaCall{p.attempt});
    settle(w, 502, Outcome::unknown, why, w.reservation, now);
  };
  if (p.index != w.pieces)
    return fail("the replica's stream skipped or repeated a piece");
  if (w.tokens + p.tokens > w.reservation)
    return fail("the replica's answer exceeds the turn's tokens");
  w.tokens += p.tokens;
  w.text += p.text;
  ++w.pieces;
  out_.send(w.reply, ProgramResponseChunk{p.attempt, p.index, p.text}, w.reply_inc);
}

void GatewayMachine::on(const ReplicaCallResponse& r, Millis now) {
  auto i = works_.find(r.attempt);
  if (i == works_.end() || i->second.stage != Stage::running)
    return;
  auto& w = i->second;
  if (w.e.kind == "app")
    w.text = r.body;
  bool whole = r.complete && r.status == 200 && r.checksum == digest(w.text);
  if (w.e.kind == "model")
    whole = whole && r.chunks == w.pieces && r.tokens == w.tokens;
  if (whole) {
    retries_ = std::min(retries_ + kRetryBudgetPerSuccess, 10.0);
    return settle(w, 200, Outcome::yes, "", w.tokens, now);
  }
  ++metrics_["replica_faults"];
  out_.note(Event::replica_fault,
            w.replica + ": " + (r.reason.empty() ? "status " + std::to_string(r.status) : r.reason));
  if (!r.request_sent || w.e.idempotent) {
    nom_.back_off(w.replica, now);
    if (retries_ >= 1 && w.pieces == 0 && now < w.deadline) {
      retries_ -= 1;
      ++metrics_["retries"];
      if (w.direct) {
        free_replica(w);
        w.asked = now;
        return enqueue(w);
      }
      bool any = false;
      auto* n = me() ? nom_.select_replica(w.e, *metadata_log_.view(), *me(), now, any) : nullptr;
      if (n) {
        free_replica(w);
        w.replica = n->name;
        nom_.took(n->name, w.e);
        return dispatch(w, now);
      }
    }
    if (!r.request_sent)
      return settle(w, 0, Outcome::no, "no replica could be reached", 0, now);
  }
  if (r.complete && r.status >= 400 && r.status < 500)
    return settle(w, r.status, Outcome::yes, "the replica refused: " + r.body, 0, now);
  settle(w, 502, Outcome::unknown,
         "the replica's answer was not whole and sealed" + (r.reason.empty() ? "" : ": " + r.reason), w.reservation,
         now);
}

void GatewayMachine::history(Ref w, Millis now) {
  auto& v = history_writer_.records(w.history);
  auto* c = metadata_log_.view()->configuration.cell(w.e.cell);
  if (v.empty())
    return refuse(w, 404, "the conversation is missing: a majority of its stores keeps no such turns", 0, now);
  nlohmann::json j{{"program", w.e.program}, {"turns", nlohmann::json::array()}};
  std::map<std::string, const Record*> reservations;
  std::map<std::string, bool> open;
  uint64_t spent = 0;
  for (auto& r : v) {
    if (!history_writer_.is_committed(w.history, r))
      break;
    open[r.key] = r.kind == RecordKind::reservation;
    if (r.kind == RecordKind::reservation) {
      reservations[r.key] = &r;
      continue;
    }
    spent += r.tokens;
    j["turns"].push_back({{"thread", r.thread},
                          {"turn", r.turn},
                          {"key", r.key},
                          {"status", r.status},
                          {"tokens", r.tokens},
                          {"input", reservations.count(r.key) ? reservations[r.key]->input : ""},
                          {"output", r.output}});
  }
  uint64_t reserved = 0;
  for (auto& [k, o] : open)
    if (o)
      reserved += reservations[k]->tokens;
  j["tokens"] = {{"spent", spent}, {"reserved", reserved}, {"budget", c ? c->budget : 0}};
  w.end = {w.e.attempt, 200, Outcome::yes, "", j.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), 0,
           0,           0,   false,        0};
  end(w, now);
}

}  // namespace mosskeel
