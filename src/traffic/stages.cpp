// The stages of a request: waiting, offered, passed on, settled, refused.
#include <algorithm>

#include "kernel/limits.hpp"
#include "traffic/traffic.hpp"

namespace mosskeel::traffic {
namespace {

constexpr std::string_view scheme = "http://";

bool repeatable(const Path& p) {
  return p.path_kind() == PathKind::safe || (p.path_kind() == PathKind::streaming && p.resumable);
}

}  // namespace

void Traffic::finish(uint64_t id) {
  auto i = calls_.find(id);
  if (i == calls_.end()) return;
  auto& c = base(i->second);
  free_offer(c);
  unqueue(c);
  if (auto a = attempts_.find(c.words.attempt); a != attempts_.end() && a->second == id) attempts_.erase(a);
  calls_.erase(i);
}

void Traffic::free_offer(Call& c) {
  if (!c.offer) return;
  balancer_.gave(c.offer->replica);
  asks_.erase(c.offer->ask);
  c.offer.reset();
}

uint64_t Traffic::tokens(const TurnCall& c) const {
  auto* s = c.view->configuration.service(c.service);
  return c.events.events() * (s && s->event_tokens ? s->event_tokens : 1);
}

void Traffic::settle(const TurnCall& c, uint32_t status) {
  bool kept = c.path->kept && status == 200;
  out_.push_back(
      TellOwner{TurnSettle{c.words.attempt, c.words.program, status, tokens(c), kept, kept ? c.events.data() : ""}});
}

/// A newer configuration may lead elsewhere by now, or nowhere.
bool Traffic::reroute(Call& c) {
  if (c.view->revision == table_->view()->revision) return true;
  auto* p = table_->find(c.request.host, c.request.target);
  if (!p || p->kind != c.path->kind || p->kept != c.path->kept) return false;
  unqueue(c);
  c.view = table_->view();
  c.path = p;
  auto* s = service_of(*p, digest(c.words.program.empty() ? c.words.attempt : c.words.program));
  c.service = s ? *s : "";
  return true;
}

void Traffic::queue(Call& c, Millis) {
  queue_.insert({c.path->rank, c.born, c.id});
}

void Traffic::offer(AnyCall& any, Millis now) {
  auto& c = base(any);
  if (!reroute(c)) {
    bool there = table_->find(c.request.host, c.request.target);
    return give_up(any, c.doubt ? 502 : there ? 503 : 404, "its path leads there no more", limits::retry_ms / 4);
  }
  bool later = false;
  auto* r = in_touch(now) ? balancer_.pick({c.service, c.key, &c.tried}, now, later) : nullptr;
  if (!r) {
    if (!later && in_touch(now) && !c.tried.empty())
      return give_up(any, c.doubt ? 502 : 503, "no other replica serves this", limits::retry_ms / 4);
    return queue(c, now);
  }
  unqueue(c);
  Offer o;
  o.ask = ++next_ask_;
  o.replica = r->name;
  ++c.offers;
  c.tried.push_back(r->name);
  balancer_.took(r->name, now);
  asks_[o.ask] = c.id;
  AskReplica q{o.ask, r->url.substr(scheme.size()), c.request.method, c.request.target, c.request.fields, {}};
  dialect_.address(q.fields, r->name, c.until - now, std::nullopt);
  if (auto* t = std::get_if<TurnCall>(&any)) {
    t->stage = TurnCall::Stage::offered;
    q.body = t->chain;
  } else {
    std::get<Plain>(any).stage = Plain::Stage::offered;
  }
  q.body += c.request.body;
  c.offer = std::move(o);
  out_.push_back(std::move(q));
}

void Traffic::head(Plain& c, ReplicaHead& h) {
  bool stream = h.status < 300 && field(h.fields, "content-type").starts_with("text/event-stream");
  c.offer->streaming = stream;
  c.offer->fields = std::move(h.fields);
  if (!stream) return;
  c.stage = Plain::Stage::passing;
  out_.push_back(AnswerHead{c.id, h.status, std::move(c.offer->fields)});
}

void Traffic::head(TurnCall& c, ReplicaHead& h) {
  c.offer->fields = std::move(h.fields);
  if (h.status >= 300) return;
  c.offer->streaming = true;
  c.stage = TurnCall::Stage::passing;
  out_.push_back(AnswerHead{c.id, h.status, std::move(c.offer->fields)});
}

void Traffic::done(Plain& c, Millis now) {
  if (c.offer->streaming) {
    out_.push_back(AnswerEnd{c.id});
    ++metrics_["plain_done"];
    return finish(c.id);
  }
  if (c.offer->status >= 500 && repeatable(*c.path) && c.offers < c.path->attempts && now < c.until)
    return failed(calls_.at(c.id), Outcome::unknown, "the replica answered " + std::to_string(c.offer->status), now);
  out_.push_back(AnswerWhole{c.id, c.offer->status, std::move(c.offer->fields), std::move(c.offer->body)});
  ++metrics_["plain_done"];
  finish(c.id);
}

void Traffic::done(TurnCall& c, Millis) {
  if (!c.offer->streaming) {
    out_.push_back(AnswerWhole{c.id, c.offer->status, std::move(c.offer->fields), std::move(c.offer->body)});
    settle(c, c.offer->status);
    return finish(c.id);
  }
  settle(c, 200);
  free_offer(c);
  if (c.path->kept) {
    c.stage = TurnCall::Stage::settling;
    return;
  }
  out_.push_back(AnswerEnd{c.id});
  ++metrics_["turns_done"];
  finish(c.id);
}

void Traffic::failed(AnyCall& any, Outcome ran, const std::string& why, Millis now) {
  auto& c = base(any);
  bool passed = c.offer && c.offer->streaming;
  free_offer(c);
  ++metrics_[ran == Outcome::no ? "offers_not_run" : "offers_lost"];
  if (passed) {
    out_.push_back(AnswerCut{c.id});
    if (auto* t = std::get_if<TurnCall>(&any)) settle(*t, 502);
    return finish(c.id);
  }
  c.doubt = c.doubt || ran != Outcome::no;
  bool again = (ran == Outcome::no || repeatable(*c.path)) && c.offers < std::max(1u, c.path->attempts) &&
               c.tried.size() < limits::offers_most && now < c.until;
  if (!again) return give_up(any, c.doubt ? 502 : 503, why, limits::retry_ms / 4);
  c.hold = std::max(c.hold, now + std::min(c.path->target_ms / 4, limits::hold_most));
  if (auto* t = std::get_if<TurnCall>(&any)) t->stage = TurnCall::Stage::waiting;
  if (auto* p = std::get_if<Plain>(&any)) p->stage = Plain::Stage::waiting;
  offer(any, now);
}

void Traffic::give_up(AnyCall& any, uint32_t status, const std::string& why, Millis retry) {
  auto& c = base(any);
  if (auto* t = std::get_if<TurnCall>(&any)) settle(*t, c.doubt ? 502 : 0);
  refuse(c.id, status, why, status == 503 ? retry : 0);
  finish(c.id);
}

void Traffic::expire(AnyCall& any, Millis now) {
  auto& c = base(any);
  auto* t = std::get_if<TurnCall>(&any);
  if (t && t->stage == TurnCall::Stage::settling) {
    if (now < c.until + limits::settle_patience) return;
    out_.push_back(AnswerCut{c.id});
    return finish(c.id);
  }
  if (c.offer) {
    if (now < c.until) return;
    out_.push_back(DropReplica{c.offer->ask});
    if (c.offer->streaming) return failed(any, Outcome::unknown, "", now);
    c.doubt = true;
    free_offer(c);
    return give_up(any, 504, "the deadline passed while a replica was at work", 0);
  }
  if (t && t->stage == TurnCall::Stage::asking && now < c.until) return;
  if (now >= c.until || now >= c.hold)
    give_up(any, c.doubt ? 502 : 503, "no replica had a free place in time", limits::retry_ms / 4);
}

void Traffic::serve_queue(Millis now) {
  if (queue_.empty()) return;
  auto q = queue_;
  for (auto& [rank, born, id] : q)
    if (auto i = calls_.find(id); i != calls_.end()) offer(i->second, now);
}

}  // namespace mosskeel::traffic
