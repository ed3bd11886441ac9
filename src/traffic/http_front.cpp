#include "traffic/http_front.hpp"

#include "kernel/host.hpp"

namespace mosskeel {

HttpFront::HttpFront(Loop& loop, const Dialect& dialect, Snapshot snapshot, TellOwner tell)
    : snapshot_(std::move(snapshot)), tell_owner_(std::move(tell)), traffic_(dialect) {
  replicas_ = std::make_unique<UpstreamClient>(loop, replica_events());
}

Result<std::unique_ptr<HttpFront>> HttpFront::open(Loop& loop, const Dialect& dialect, const Address& at,
                                                   Snapshot snapshot, TellOwner tell) {
  std::unique_ptr<HttpFront> made(new HttpFront(loop, dialect, std::move(snapshot), std::move(tell)));
  auto* front = made.get();
  HttpListener::Events events{[front](uint64_t id, HttpRequest&& request) {
                                front->step(traffic::Asked{id, std::move(request)});
                              },
                              [front](uint64_t id) {
                                front->backpressure_->forget(id);
                                front->step(traffic::CallerLeft{id});
                              },
                              [front](uint64_t id) { front->backpressure_->drained(id); }};
  auto callers = HttpListener::open(loop, at, std::move(events));
  if (!ok(callers)) return findings(callers);
  made->callers_ = std::move(std::get<0>(callers));
  made->backpressure_ = std::make_unique<Backpressure>(*made->callers_, *made->replicas_);
  return made;
}

UpstreamClient::Events HttpFront::replica_events() {
  return {[this](uint64_t upstream, UpstreamClient::Answer&& answer) {
            step(traffic::ReplicaHead{ask_of(upstream), answer.status, std::move(answer.fields),
                                      std::move(answer.previous_tag)});
          },
          [this](uint64_t upstream, std::string_view bytes) {
            step(traffic::ReplicaBytes{ask_of(upstream), std::string(bytes)});
          },
          [this](uint64_t upstream) { step(traffic::ReplicaDone{forget_ask(upstream)}); },
          [this](uint64_t upstream, UpstreamClient::Lost lost, std::string reason) {
            bool sent = lost == UpstreamClient::Lost::sent;
            step(traffic::ReplicaLost{forget_ask(upstream), sent, std::move(reason)});
          }};
}

uint64_t HttpFront::ask_of(uint64_t upstream) const {
  auto found = ask_of_upstream_.find(upstream);
  return found == ask_of_upstream_.end() ? 0 : found->second;
}

uint64_t HttpFront::forget_ask(uint64_t upstream) {
  auto ask = ask_of(upstream);
  ask_of_upstream_.erase(upstream);
  upstream_of_ask_.erase(ask);
  return ask;
}

void HttpFront::take_snapshot() {
  auto snapshot = snapshot_();
  auto& view = *snapshot->view;
  if (view.revision != limits_revision_) {
    limits_revision_ = view.revision;
    take_limits(view.configuration.callers);
  }
  traffic_.routing_snapshot(std::move(snapshot), process_now());
}

void HttpFront::take_limits(const CallerLimits& limits) {
  HttpListenerLimits taken;
  if (limits.head_bytes) taken.head_bytes = limits.head_bytes;
  if (limits.body_bytes) taken.body_bytes = limits.body_bytes;
  if (limits.head_ms) taken.head_ms = limits.head_ms;
  if (limits.idle_ms) taken.idle_ms = limits.idle_ms;
  callers_->limits(taken);
}

void HttpFront::step(traffic::Event event) {
  take_snapshot();
  act(traffic_.step(std::move(event), process_now()));
}

void HttpFront::tick() {
  take_snapshot();
  act(traffic_.tick(process_now()));
}

void HttpFront::act(traffic::Actions actions) {
  for (auto& action : actions)
    std::visit(overload{[&](traffic::AnswerWhole& x) { callers_->whole(x.id, x.status, x.fields, x.body); },
                        [&](traffic::AnswerHead& x) { callers_->head(x.id, x.status, x.fields, std::nullopt); },
                        [&](traffic::AnswerBytes& x) { act(x); },
                        [&](traffic::AnswerEnd& x) {
                          backpressure_->forget(x.id);
                          callers_->end(x.id);
                        },
                        [&](traffic::AnswerCut& x) {
                          backpressure_->forget(x.id);
                          callers_->cut(x.id);
                        },
                        [&](traffic::AskReplica& x) { act(x); }, [&](traffic::DropReplica& x) { act(x); },
                        [&](traffic::SkipAnswer& x) {
                          if (auto i = upstream_of_ask_.find(x.ask); i != upstream_of_ask_.end())
                            replicas_->skip(i->second);
                        },
                        [&](traffic::TellOwner& x) { tell_owner_(std::move(x.body)); }},
               action);
}

void HttpFront::act(traffic::AnswerBytes& x) {
  callers_->bytes(x.id, x.bytes);
  if (auto i = upstream_of_ask_.find(x.ask); i != upstream_of_ask_.end()) backpressure_->passed(x.id, i->second);
}

void HttpFront::act(traffic::AskReplica& x) {
  UpstreamClient::Ask ask{x.to, std::move(x.method), std::move(x.target), std::move(x.fields), std::move(x.body)};
  ask.max_rest_ms = x.max_rest_ms;
  ask.tag = std::move(x.tag);
  auto upstream = replicas_->ask(std::move(ask));
  upstream_of_ask_[x.ask] = upstream;
  ask_of_upstream_[upstream] = x.ask;
}

void HttpFront::act(traffic::DropReplica& x) {
  auto i = upstream_of_ask_.find(x.ask);
  if (i == upstream_of_ask_.end()) return;
  auto upstream = i->second;
  replicas_->drop(upstream);
  forget_ask(upstream);
}

}  // namespace mosskeel
