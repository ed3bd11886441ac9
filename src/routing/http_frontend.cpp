#include "routing/http_frontend.hpp"

#include "runtime/host.hpp"

namespace mosskeel {

HttpFrontend::HttpFrontend(EventLoop& loop, const ProtocolCodec& dialect, Snapshot snapshot, SendToOwner tell)
    : snapshot_(std::move(snapshot)), tell_owner_(std::move(tell)), traffic_(dialect) {
  replicas_ = std::make_unique<UpstreamClient>(loop, replica_events());
}

Result<std::unique_ptr<HttpFrontend>> HttpFrontend::open(EventLoop& loop, const ProtocolCodec& dialect,
                                                         const Address& at, Snapshot snapshot, SendToOwner tell) {
  std::unique_ptr<HttpFrontend> made(new HttpFrontend(loop, dialect, std::move(snapshot), std::move(tell)));
  auto* front = made.get();
  HttpListener::Callbacks events{[front](uint64_t id, HttpRequest&& request) {
                                   front->step(routing::RequestReceived{id, std::move(request)});
                                 },
                                 [front](uint64_t id) {
                                   front->backpressure_->on_finished(id);
                                   front->step(routing::CallerDisconnected{id});
                                 },
                                 [front](uint64_t id) {
                                   front->backpressure_->on_drained(id);
                                 }};
  auto callers = HttpListener::open(loop, at, std::move(events));
  if (!callers.ok())
    return callers.errors();
  made->callers_ = std::move(callers).value();
  made->backpressure_ = std::make_unique<Backpressure>(*made->callers_, *made->replicas_);
  return made;
}

UpstreamClient::Callbacks HttpFrontend::replica_events() {
  return {[this](uint64_t upstream, UpstreamClient::ResponseHead&& answer) {
            step(routing::ResponseHeadersReceived{ask_of(upstream), answer.status, std::move(answer.fields),
                                                  std::move(answer.previous_tag)});
          },
          [this](uint64_t upstream, std::string_view bytes) {
            step(routing::ResponseDataReceived{ask_of(upstream), std::string(bytes)});
          },
          [this](uint64_t upstream) { step(routing::ResponseCompleted{forget_ask(upstream)}); },
          [this](uint64_t upstream, UpstreamClient::Delivery lost, std::string reason) {
            bool sent = lost == UpstreamClient::Delivery::possibly_sent;
            step(routing::AttemptFailed{forget_ask(upstream), sent, std::move(reason)});
          }};
}

uint64_t HttpFrontend::ask_of(uint64_t upstream) const {
  auto found = ask_of_upstream_.find(upstream);
  return found == ask_of_upstream_.end() ? 0 : found->second;
}

uint64_t HttpFrontend::forget_ask(uint64_t upstream) {
  auto ask = ask_of(upstream);
  ask_of_upstream_.erase(upstream);
  upstream_of_ask_.erase(ask);
  return ask;
}

void HttpFrontend::take_snapshot() {
  auto snapshot = snapshot_();
  auto& view = *snapshot->view;
  if (view.revision != limits_revision_) {
    limits_revision_ = view.revision;
    take_limits(view.configuration.callers);
  }
  traffic_.routing_snapshot(std::move(snapshot), process_now());
}

void HttpFrontend::take_limits(const CallerLimits& limits) {
  HttpListenerLimits taken;
  if (limits.head_bytes)
    taken.max_head_bytes = limits.head_bytes;
  if (limits.body_bytes)
    taken.max_body_bytes = limits.body_bytes;
  if (limits.head_ms)
    taken.head_timeout_ms = limits.head_ms;
  if (limits.idle_ms)
    taken.idle_timeout_ms = limits.idle_ms;
  callers_->set_limits(taken);
}

void HttpFrontend::step(routing::Event event) {
  take_snapshot();
  act(traffic_.step(std::move(event), process_now()));
}

void HttpFrontend::tick() {
  take_snapshot();
  act(traffic_.tick(process_now()));
}

void HttpFrontend::act(routing::Actions actions) {
  for (auto& action : actions)
    std::visit(
        overload{[&](routing::SendResponse& x) { callers_->send_response(x.id, x.status, x.fields, x.body); },
                 [&](routing::SendResponseHeaders& x) { callers_->send_head(x.id, x.status, x.fields, std::nullopt); },
                 [&](routing::SendResponseData& x) { act(x); },
                 [&](routing::EndResponse& x) {
                   backpressure_->on_finished(x.id);
                   callers_->finish(x.id);
                 },
                 [&](routing::ResetResponse& x) {
                   backpressure_->on_finished(x.id);
                   callers_->abort(x.id);
                 },
                 [&](routing::SendToReplica& x) { act(x); }, [&](routing::CancelAttempt& x) { act(x); },
                 [&](routing::SkipStaleResponse& x) {
                   if (auto i = upstream_of_ask_.find(x.ask); i != upstream_of_ask_.end())
                     replicas_->skip_response(i->second);
                 },
                 [&](routing::SendToOwner& x) {
                   tell_owner_(std::move(x.body));
                 }},
        action);
}

void HttpFrontend::act(routing::SendResponseData& x) {
  callers_->send_body(x.id, x.bytes);
  if (auto i = upstream_of_ask_.find(x.ask); i != upstream_of_ask_.end())
    backpressure_->on_forwarded(x.id, i->second);
}

void HttpFrontend::act(routing::SendToReplica& x) {
  UpstreamClient::Request ask{x.to, std::move(x.method), std::move(x.target), std::move(x.fields), std::move(x.body)};
  ask.max_idle_ms = x.max_idle_ms;
  ask.tag = std::move(x.tag);
  auto upstream = replicas_->send_request(std::move(ask));
  upstream_of_ask_[x.ask] = upstream;
  ask_of_upstream_[upstream] = x.ask;
}

void HttpFrontend::act(routing::CancelAttempt& x) {
  auto i = upstream_of_ask_.find(x.ask);
  if (i == upstream_of_ask_.end())
    return;
  auto upstream = i->second;
  replicas_->cancel(upstream);
  forget_ask(upstream);
}

}  // namespace mosskeel
