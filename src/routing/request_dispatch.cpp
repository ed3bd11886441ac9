// The stages of a request: waiting, offered, passed on, settled, refused.
#include <algorithm>

#include "routing/constants.hpp"
#include "routing/request_router.hpp"
#include "runtime/constants.hpp"

namespace mosskeel::routing {
namespace {

constexpr std::string_view scheme = "http://";

}  // namespace

void RequestRouter::finish(uint64_t id) {
  auto i = calls_.find(id);
  if (i == calls_.end())
    return;
  auto& c = base(i->second);
  bool may_have_run = c.outcome_unknown || c.offer;
  if (may_have_run && !is_idempotent(*c.path))
    ran_.add(c.words.attempt_id);
  free_offer(c);
  unqueue(c);
  if (auto a = attempts_.find(c.words.attempt_id); a != attempts_.end() && a->second == id)
    attempts_.erase(a);
  calls_.erase(i);
}

void RequestRouter::free_offer(ActiveRequest& c) {
  if (!c.offer)
    return;
  balancer_.gave(c.offer->replica);
  asks_.erase(c.offer->ask);
  c.offer.reset();
}

uint64_t RequestRouter::tokens(const TurnRequest& c) const {
  auto* s = c.view->configuration.service(c.service);
  return c.events.events() * (s && s->event_tokens ? s->event_tokens : 1);
}

void RequestRouter::settle(const TurnRequest& c, uint32_t status) {
  bool kept = c.path->kept && status == 200;
  out_.push_back(SendToOwner{
      CommitTurn{c.words.attempt_id, c.words.program_id, status, tokens(c), kept, kept ? c.events.data() : ""}});
}

/// A newer configuration may lead elsewhere by now, or nowhere.
bool RequestRouter::reroute(ActiveRequest& c) {
  if (c.view->revision == table_->view()->revision)
    return true;
  auto* p = table_->find(c.request.host, c.request.target);
  if (!p || p->kind != c.path->kind || p->kept != c.path->kept)
    return false;
  unqueue(c);
  c.view = table_->view();
  c.path = p;
  auto* s = select_service(*p, digest(c.words.program_id.empty() ? c.words.attempt_id : c.words.program_id));
  c.service = s ? *s : "";
  return true;
}

void RequestRouter::queue(ActiveRequest& c, Millis) {
  queue_.insert({c.path->rank, c.born, c.id});
}

void RequestRouter::offer(AnyRequest& any, Millis now) {
  auto& c = base(any);
  if (!reroute(c)) {
    bool there = table_->find(c.request.host, c.request.target);
    return give_up(any,
                   c.outcome_unknown ? 502
                   : there           ? 503
                                     : 404,
                   "its path leads there no more", kDefaultRetryAfter / 4);
  }
  bool later = false;
  auto* r = in_touch(now) ? balancer_.pick({c.service, c.key, &c.tried}, now, later) : nullptr;
  if (!r) {
    if (!later && in_touch(now) && !c.tried.empty())
      return give_up(any, c.outcome_unknown ? 502 : 503, "no other replica serves this", kDefaultRetryAfter / 4);
    return queue(c, now);
  }
  unqueue(c);
  UpstreamAttempt o;
  o.ask = ++next_ask_;
  o.replica = r->name;
  ++c.offers;
  c.tried.push_back(r->name);
  balancer_.took(r->name, now);
  asks_[o.ask] = c.id;
  SendToReplica q{o.ask, r->url.substr(scheme.size()), c.request.method, c.request.target, c.request.fields, {}};
  q.tag = c.words.attempt_id;
  q.max_idle_ms = is_idempotent(*c.path) ? INT64_MAX : kMaxReuseIdle;
  dialect_.set_upstream_headers(q.fields, r->name, c.until - now, std::nullopt);
  if (auto* t = std::get_if<TurnRequest>(&any)) {
    t->stage = TurnRequest::Stage::offered;
    q.body = t->chain;
  } else {
    std::get<PlainRequest>(any).stage = PlainRequest::Stage::offered;
  }
  q.body += c.request.body;
  c.offer = std::move(o);
  out_.push_back(std::move(q));
}

void RequestRouter::head(PlainRequest& c, ResponseHeadersReceived& h) {
  bool stream = h.status < 300 && header_value(h.fields, "content-type").starts_with("text/event-stream");
  c.offer->streaming = stream;
  c.offer->fields = std::move(h.fields);
  if (!stream)
    return;
  c.stage = PlainRequest::Stage::passing;
  out_.push_back(SendResponseHeaders{c.id, h.status, std::move(c.offer->fields)});
}

void RequestRouter::head(TurnRequest& c, ResponseHeadersReceived& h) {
  c.offer->fields = std::move(h.fields);
  if (h.status >= 300)
    return;
  c.offer->streaming = true;
  c.stage = TurnRequest::Stage::passing;
  out_.push_back(SendResponseHeaders{c.id, h.status, std::move(c.offer->fields)});
}

void RequestRouter::done(PlainRequest& c, Millis now) {
  if (c.offer->streaming) {
    out_.push_back(EndResponse{c.id});
    ++metrics_["plain_done"];
    return finish(c.id);
  }
  if (c.offer->status >= 500 && is_idempotent(*c.path) && c.offers < c.path->attempts && now < c.until)
    return failed(calls_.at(c.id), Outcome::unknown, "the replica answered " + std::to_string(c.offer->status), now);
  out_.push_back(SendResponse{c.id, c.offer->status, std::move(c.offer->fields), std::move(c.offer->body)});
  ++metrics_["plain_done"];
  finish(c.id);
}

void RequestRouter::done(TurnRequest& c, Millis) {
  if (!c.offer->streaming) {
    out_.push_back(SendResponse{c.id, c.offer->status, std::move(c.offer->fields), std::move(c.offer->body)});
    settle(c, c.offer->status);
    return finish(c.id);
  }
  settle(c, 200);
  free_offer(c);
  if (c.path->kept) {
    c.stage = TurnRequest::Stage::settling;
    return;
  }
  out_.push_back(EndResponse{c.id});
  ++metrics_["turns_done"];
  finish(c.id);
}

void RequestRouter::failed(AnyRequest& any, Outcome ran, const std::string& why, Millis now) {
  auto& c = base(any);
  bool passed = c.offer && c.offer->streaming;
  free_offer(c);
  c.outcome_unknown = c.outcome_unknown || ran != Outcome::no;
  ++metrics_[ran == Outcome::no ? "offers_not_run" : "offers_lost"];
  if (passed) {
    out_.push_back(ResetResponse{c.id});
    if (auto* t = std::get_if<TurnRequest>(&any))
      settle(*t, 502);
    return finish(c.id);
  }
  bool again = (ran == Outcome::no || is_idempotent(*c.path)) && c.offers < std::max(1u, c.path->attempts) &&
               c.tried.size() < kMaxReplicasPerRequest && now < c.until;
  if (!again)
    return give_up(any, c.outcome_unknown ? 502 : 503, why, kDefaultRetryAfter / 4);
  c.hold = std::max(c.hold, now + std::min(c.path->target_ms / 4, kMaxReplicaWait));
  if (auto* t = std::get_if<TurnRequest>(&any))
    t->stage = TurnRequest::Stage::waiting;
  if (auto* p = std::get_if<PlainRequest>(&any))
    p->stage = PlainRequest::Stage::waiting;
  offer(any, now);
}

void RequestRouter::give_up(AnyRequest& any, uint32_t status, const std::string& why, Millis retry) {
  auto& c = base(any);
  if (auto* t = std::get_if<TurnRequest>(&any))
    settle(*t, c.outcome_unknown ? 502 : 0);
  refuse(c.id, status, why, status == 503 ? retry : 0);
  finish(c.id);
}

void RequestRouter::expire(AnyRequest& any, Millis now) {
  auto& c = base(any);
  auto* t = std::get_if<TurnRequest>(&any);
  if (t && t->stage == TurnRequest::Stage::settling) {
    if (now < c.until + kTurnCommitGrace)
      return;
    out_.push_back(ResetResponse{c.id});
    return finish(c.id);
  }
  if (c.offer) {
    if (now < c.until)
      return;
    out_.push_back(CancelAttempt{c.offer->ask});
    if (c.offer->streaming)
      return failed(any, Outcome::unknown, "", now);
    c.outcome_unknown = true;
    free_offer(c);
    return give_up(any, 504, "the deadline passed while a replica was at work", 0);
  }
  if (t && t->stage == TurnRequest::Stage::asking && now < c.until)
    return;
  if (now >= c.until || now >= c.hold)
    give_up(any, c.outcome_unknown ? 502 : 503, "no replica had a free place in time", kDefaultRetryAfter / 4);
}

void RequestRouter::serve_queue(Millis now) {
  if (queue_.empty())
    return;
  auto q = queue_;
  for (auto& [rank, born, id] : q)
    if (auto i = calls_.find(id); i != calls_.end())
      offer(i->second, now);
}

}  // namespace mosskeel::routing
