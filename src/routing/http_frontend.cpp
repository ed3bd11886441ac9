#include "routing/http_frontend.hpp"

#include <algorithm>

#include "base/log.hpp"
#include "runtime/host.hpp"

namespace mosskeel {
namespace {

/// The share of the memory that callers' bodies may take is one in this many: each is copied to be sent.
constexpr size_t kBodyMemoryDivisor = 8;
/// Two bodies as large as the limit of one by default.
constexpr size_t kMinTotalBodyBytes = 8u << 20;
constexpr size_t kMaxTotalBodyBytes = 256u << 20;

size_t max_total_body_bytes(size_t memory_bytes) {
  size_t share = memory_bytes ? memory_bytes / kBodyMemoryDivisor : kMaxTotalBodyBytes;
  return std::clamp(share, kMinTotalBodyBytes, kMaxTotalBodyBytes);
}

}  // namespace

routing::AttemptNumber HttpFrontend::AttemptMap::attempt_of(uint64_t upstream_id) const {
  auto found = attempt_by_upstream_id_.find(upstream_id);
  return found == attempt_by_upstream_id_.end() ? 0 : found->second;
}

uint64_t HttpFrontend::AttemptMap::upstream_id_of(routing::AttemptNumber attempt) const {
  auto found = upstream_id_by_attempt_.find(attempt);
  return found == upstream_id_by_attempt_.end() ? 0 : found->second;
}

void HttpFrontend::AttemptMap::add(routing::AttemptNumber attempt, uint64_t upstream_id) {
  upstream_id_by_attempt_[attempt] = upstream_id;
  attempt_by_upstream_id_[upstream_id] = attempt;
}

routing::AttemptNumber HttpFrontend::AttemptMap::remove(uint64_t upstream_id) {
  auto attempt = attempt_of(upstream_id);
  attempt_by_upstream_id_.erase(upstream_id);
  upstream_id_by_attempt_.erase(attempt);
  return attempt;
}

HttpFrontend::HttpFrontend(EventLoop& loop, const ProtocolCodec& codec, Snapshot snapshot, SendToOwner send_to_owner,
                           size_t memory_bytes)
    : snapshot_(std::move(snapshot)),
      send_to_owner_(std::move(send_to_owner)),
      router_(codec, routing::ResponseLimits::for_memory(memory_bytes)),
      memory_bytes_(memory_bytes) {
  replicas_ = std::make_unique<UpstreamClient>(loop, replica_callbacks());
}

Result<std::unique_ptr<HttpFrontend>> HttpFrontend::open(EventLoop& loop, const ProtocolCodec& codec,
                                                         const Address& address, Snapshot snapshot,
                                                         SendToOwner send_to_owner, size_t memory_bytes) {
  std::unique_ptr<HttpFrontend> frontend(
      new HttpFrontend(loop, codec, std::move(snapshot), std::move(send_to_owner), memory_bytes));
  auto callers = HttpListener::open(loop, address, frontend->caller_callbacks());
  if (!callers.ok())
    return callers.errors();
  frontend->callers_ = std::move(callers).value();
  frontend->apply_limits({});
  frontend->backpressure_ = std::make_unique<Backpressure>(*frontend->callers_, *frontend->replicas_);
  return frontend;
}

HttpListener::Callbacks HttpFrontend::caller_callbacks() {
  auto on_request = [this](uint64_t request_id, HttpRequest&& request) {
    step(routing::RequestReceived{request_id, std::move(request)});
  };
  auto on_disconnected = [this](uint64_t request_id) {
    backpressure_->on_finished(request_id);
    step(routing::CallerDisconnected{request_id});
  };
  auto on_drained = [this](uint64_t request_id) {
    backpressure_->on_drained(request_id);
  };
  return {on_request, on_disconnected, on_drained};
}

UpstreamClient::Callbacks HttpFrontend::replica_callbacks() {
  auto on_head = [this](uint64_t upstream_id, UpstreamClient::ResponseHead&& head) {
    bool lasts_until_close = head.lasts_until_close();
    step(routing::ResponseHeadersReceived{attempts_.attempt_of(upstream_id), head.status, std::move(head.fields),
                                          std::move(head.previous_tag), lasts_until_close});
  };
  auto on_body = [this](uint64_t upstream_id, std::string_view bytes) {
    step(routing::ResponseDataReceived{attempts_.attempt_of(upstream_id), std::string(bytes)});
  };
  auto on_complete = [this](uint64_t upstream_id) {
    step(routing::ResponseCompleted{attempts_.remove(upstream_id)});
  };
  auto on_failed = [this](uint64_t upstream_id, UpstreamClient::Delivery delivery, std::string reason) {
    bool possibly_sent = delivery == UpstreamClient::Delivery::possibly_sent;
    bool is_malformed = std::exchange(malformed_request_, 0) == upstream_id;
    step(routing::AttemptFailed{attempts_.remove(upstream_id), possibly_sent, std::move(reason), is_malformed});
  };
  auto on_malformed = [this](uint64_t upstream_id) {
    malformed_request_ = upstream_id;
  };
  return {on_head, on_body, on_complete, on_failed, on_malformed};
}

void HttpFrontend::update_router() {
  auto snapshot = snapshot_();
  auto& metadata = *snapshot->view;
  if (metadata.revision != limits_revision_) {
    limits_revision_ = metadata.revision;
    apply_limits(metadata.configuration.callers);
  }
  router_.update(std::move(snapshot), process_now());
}

void HttpFrontend::apply_limits(const CallerLimits& limits) {
  HttpListenerLimits applied;
  applied.max_total_body_bytes = max_total_body_bytes(memory_bytes_);
  if (limits.head_bytes)
    applied.max_head_bytes = limits.head_bytes;
  if (limits.body_bytes)
    applied.max_body_bytes = limits.body_bytes;
  if (limits.head_ms)
    applied.head_timeout = Duration(limits.head_ms);
  if (limits.idle_ms)
    applied.idle_timeout = Duration(limits.idle_ms);
  callers_->set_limits(applied);
}

void HttpFrontend::step(routing::Event event) {
  update_router();
  for (auto& action : router_.handle(std::move(event), process_now()))
    std::visit([this](auto& alternative) { perform(alternative); }, action);
}

void HttpFrontend::tick() {
  update_router();
  for (auto& action : router_.tick(process_now()))
    std::visit([this](auto& alternative) { perform(alternative); }, action);
}

void HttpFrontend::perform(routing::SendResponse& action) {
  callers_->send_response(action.request_id, action.status, action.fields, action.body);
}

void HttpFrontend::perform(routing::SendResponseHeaders& action) {
  callers_->send_head(action.request_id, action.status, action.fields, std::nullopt);
}

void HttpFrontend::perform(routing::SendResponseData& action) {
  callers_->send_body(action.request_id, action.bytes);
  if (auto upstream_id = attempts_.upstream_id_of(action.attempt))
    backpressure_->on_forwarded(action.request_id, upstream_id);
}

void HttpFrontend::perform(routing::EndResponse& action) {
  backpressure_->on_finished(action.request_id);
  callers_->finish(action.request_id);
}

void HttpFrontend::perform(routing::ResetResponse& action) {
  backpressure_->on_finished(action.request_id);
  callers_->abort(action.request_id);
}

void HttpFrontend::perform(routing::SendToReplica& action) {
  UpstreamClient::Request request{action.to, std::move(action.method), std::move(action.target),
                                  std::move(action.fields), std::move(action.body)};
  request.max_idle = action.max_idle;
  request.tag = std::move(action.attempt_id);
  attempts_.add(action.attempt, replicas_->send_request(std::move(request)));
}

void HttpFrontend::perform(routing::CancelAttempt& action) {
  auto upstream_id = attempts_.upstream_id_of(action.attempt);
  if (!upstream_id)
    return;
  replicas_->cancel(upstream_id);
  attempts_.remove(upstream_id);
}

void HttpFrontend::perform(routing::SkipStaleResponse& action) {
  if (auto upstream_id = attempts_.upstream_id_of(action.attempt))
    replicas_->skip_response(upstream_id);
}

void HttpFrontend::perform(routing::SendToOwner& action) {
  send_to_owner_(std::move(action.message));
}

void HttpFrontend::perform(const routing::ReportEjection& action) {
  ++ejections_;
  log_event(Event::replica_ejected,
            action.replica + " for " + std::to_string(action.time.count()) + " ms: " + action.reason);
}

}  // namespace mosskeel
