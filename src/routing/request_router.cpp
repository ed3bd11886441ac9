#include "routing/request_router.hpp"
#include "routing/constants.hpp"
#include "runtime/constants.hpp"

#include <algorithm>

namespace mosskeel::routing {
namespace {

/// Statuses that tell a caller that nothing has run and nothing will.
bool promises(uint32_t status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

void RequestRouter::routing_snapshot(std::shared_ptr<const RoutingSnapshot> o, Millis now) {
  if (o == snapshot_)
    return;
  bool moved = !snapshot_ || snapshot_->view != o->view;
  bool paths = !snapshot_ || snapshot_->view->revision != o->view->revision;
  snapshot_ = std::move(o);
  if (moved)
    balancer_.update(*snapshot_, now);
  if (paths)
    table_ = std::make_shared<RouteTable>(snapshot_->view);
}

AnyRequest* RequestRouter::by_ask(uint64_t ask) {
  auto a = asks_.find(ask);
  if (a == asks_.end())
    return nullptr;
  auto c = calls_.find(a->second);
  return c == calls_.end() ? nullptr : &c->second;
}

Actions RequestRouter::step(Event e, Millis now) {
  std::visit([&](auto& x) { on(x, now); }, e);
  serve_queue(now);
  return take();
}

Actions RequestRouter::tick(Millis now) {
  std::vector<uint64_t> ids;
  for (auto& [id, c] : calls_)
    ids.push_back(id);
  for (auto id : ids)
    if (auto i = calls_.find(id); i != calls_.end())
      expire(i->second, now);
  serve_queue(now);
  return take();
}

void RequestRouter::refuse(uint64_t id, uint32_t status, const std::string& why, Millis retry) {
  ++metrics_["refused_" + std::to_string(status)];
  auto f = dialect_.rejection_headers(retry);
  f.push_back({"Content-Type", "text/plain"});
  out_.push_back(SendResponse{id, status, std::move(f), why + "\n"});
}

void RequestRouter::on(RequestReceived& a, Millis now) {
  ++metrics_["asked"];
  auto words = dialect_.parse_request(a.request);
  if (!words.ok())
    return refuse(a.id, 400, to_string(words.errors()), 0);
  auto& w = words.value();
  if (w.attempt_id.empty())
    return refuse(a.id, 400, "the attempt has no id", 0);
  if (!in_touch(now))
    return refuse(a.id, 503, "this front is out of touch", kDefaultRetryAfter / 2);
  auto* p = table_->find(a.request.host, a.request.target);
  if (!p)
    return refuse(a.id, 404, "no path leads there", 0);
  ActiveRequest c;
  c.id = a.id;
  c.request = std::move(a.request);
  c.words = w;
  c.view = table_->view();
  c.path = p;
  c.born = now;
  c.until = now + (w.time_left >= 0 ? std::min(w.time_left, p->timeout_ms) : p->timeout_ms);
  c.hold = now + std::min(p->target_ms > 0 ? p->target_ms / 4 : kMaxReplicaWait, kMaxReplicaWait);
  auto* s = select_service(*p, digest(w.program_id.empty() ? w.attempt_id : w.program_id));
  c.service = s ? *s : "";
  bool turn = p->path_kind() == PathKind::streaming && !w.program_id.empty();
  bool once = turn || !is_idempotent(*p);
  if (once && attempts_.count(w.attempt_id))
    return refuse(a.id, 502, "this attempt is under way here already", 0);
  if (once && ran_.contains(w.attempt_id))
    return refuse(a.id, 502, "this attempt may have run here already", 0);
  if (once)
    attempts_[w.attempt_id] = a.id;
  if (turn) {
    TurnRequest t{std::move(c)};
    t.key = digest(t.words.program_id);
    t.events = EventReader(p->kept);
    ReserveTurn q{w.attempt_id,
                  w.program_id,
                  w.previous_turn,
                  p->kept ? t.request.body : "",
                  w.token_budget.value_or(UINT64_MAX),
                  w.max_output_tokens,
                  p->kept,
                  std::max(p->retention_ms, kMinTurnRetention),
                  t.until - now};
    out_.push_back(SendToOwner{std::move(q)});
    calls_.emplace(t.id, std::move(t));
    return;
  }
  PlainRequest x{std::move(c)};
  if (p->sticky || p->path_kind() == PathKind::streaming)
    x.key = x.words.affinity_key.empty() ? 0 : digest(x.words.affinity_key);
  auto id = x.id;
  offer(calls_.emplace(id, std::move(x)).first->second, now);
}

void RequestRouter::on(ReserveTurnReply& g, Millis now) {
  auto a = attempts_.find(g.attempt);
  auto i = a == attempts_.end() ? calls_.end() : calls_.find(a->second);
  auto* t = i == calls_.end() ? nullptr : std::get_if<TurnRequest>(&i->second);
  if (!t || t->stage != TurnRequest::Stage::asking)
    return;
  if (g.status != 200) {
    auto status = g.status == 409 ? 502 : g.status;
    refuse(t->id, status, g.reason, g.retry_after_ms);
    return finish(t->id);
  }
  t->chain = std::move(g.chain);
  t->stage = TurnRequest::Stage::waiting;
  t->hold = std::max(t->hold, now + t->path->target_ms / 4);
  offer(i->second, now);
}

void RequestRouter::on(const CommitTurnReply& s, Millis) {
  auto a = attempts_.find(s.attempt);
  auto i = a == attempts_.end() ? calls_.end() : calls_.find(a->second);
  auto* t = i == calls_.end() ? nullptr : std::get_if<TurnRequest>(&i->second);
  if (!t || t->stage != TurnRequest::Stage::settling)
    return;
  if (s.committed)
    out_.push_back(EndResponse{t->id});
  else
    out_.push_back(ResetResponse{t->id});
  ++metrics_[s.committed ? "turns_done" : "turns_not_kept"];
  finish(t->id);
}

void RequestRouter::on(const CallerDisconnected& l, Millis) {
  auto i = calls_.find(l.id);
  if (i == calls_.end())
    return;
  ++metrics_["callers_left"];
  auto& c = base(i->second);
  bool sent = c.outcome_unknown || c.offer;
  c.outcome_unknown = sent;
  if (c.offer) {
    out_.push_back(CancelAttempt{c.offer->ask});
    free_offer(c);
  }
  if (auto* t = std::get_if<TurnRequest>(&i->second); t && t->stage != TurnRequest::Stage::settling)
    settle(*t, sent ? 502 : 0);
  finish(l.id);
}

void RequestRouter::on(ResponseHeadersReceived& h, Millis now) {
  auto* c = by_ask(h.ask);
  if (!c)
    return;
  auto& b = base(*c);
  auto w = dialect_.parse_response(h.status, h.fields);
  if (w.load)
    balancer_.told(b.offer->replica, *w.load, now);
  bool ours = w.attempt_id == b.words.attempt_id || (w.not_run && w.attempt_id.empty());
  if (!ours && !w.attempt_id.empty() && w.attempt_id == h.previous_attempt && !std::exchange(b.offer->skipped, true)) {
    ++metrics_["late_answers_skipped"];
    out_.push_back(SkipStaleResponse{h.ask});
    return;
  }
  if (ours && w.not_run) {
    // A late one without an id could pass for the next request's: the connection is not used again.
    if (w.attempt_id.empty())
      out_.push_back(CancelAttempt{h.ask});
    balancer_.back_off(b.offer->replica, now + (h.status == 421 ? kConnectFailureBackoff : kReplicaFullBackoff));
    return failed(*c, Outcome::no, "the replica did not run it: " + std::to_string(h.status), now);
  }
  bool good = h.status >= 200 && h.status < 300;
  if (!ours || (good && !w.sealed) || promises(h.status)) {
    out_.push_back(CancelAttempt{h.ask});
    balancer_.back_off(b.offer->replica, now + kLostResponseBackoff);
    return failed(*c, Outcome::unknown, "the replica's answer is not this request's, or promises what it can't", now);
  }
  b.offer->headed = true;
  b.offer->status = h.status;
  std::visit([&](auto& x) { head(x, h); }, *c);
}

void RequestRouter::on(ResponseDataReceived& r, Millis now) {
  auto* c = by_ask(r.ask);
  if (!c)
    return;
  auto& b = base(*c);
  if (!b.offer->streaming) {
    b.offer->body += r.bytes;
    if (b.offer->body.size() <= kMaxBufferedResponseBytes)
      return;
    if (b.offer->status >= 300 && std::holds_alternative<TurnRequest>(*c)) {
      out_.push_back(CancelAttempt{r.ask});
      return failed(*c, Outcome::unknown, "the replica's failure is too large", now);
    }
    b.offer->streaming = true;
    out_.push_back(SendResponseHeaders{b.id, b.offer->status, std::move(b.offer->fields)});
    r.bytes = std::move(b.offer->body);
    if (auto* p = std::get_if<PlainRequest>(c))
      p->stage = PlainRequest::Stage::passing;
  }
  if (auto* t = std::get_if<TurnRequest>(c))
    t->events.read(r.bytes);
  out_.push_back(SendResponseData{b.id, std::move(r.bytes), r.ask});
}

void RequestRouter::on(const ResponseCompleted& d, Millis now) {
  if (auto* c = by_ask(d.ask))
    std::visit([&](auto& x) { done(x, now); }, *c);
}

void RequestRouter::on(const AttemptFailed& l, Millis now) {
  auto* c = by_ask(l.ask);
  if (!c)
    return;
  auto& b = base(*c);
  balancer_.back_off(b.offer->replica, now + (l.sent ? kLostResponseBackoff : kConnectFailureBackoff));
  if (!l.sent)
    --b.offers;
  failed(*c, l.sent ? Outcome::unknown : Outcome::no, l.reason, now);
}

}  // namespace mosskeel::routing
