#include "routing/request_router.hpp"

#include <algorithm>

#include "routing/constants.hpp"
#include "routing/response_check.hpp"
#include "runtime/constants.hpp"

namespace mosskeel::routing {
namespace {

/// Retry-After of rejections because of missing majority contact.
constexpr Duration kRetryAfterNoContact = kDefaultRetryAfter / 2;
/// Retry-After of rejections because no replica was available: shorter, because capacity is released quickly.
constexpr Duration kRetryAfterNoReplica = kDefaultRetryAfter / 4;

/// Retry-After of rejections during a shutdown: very short, because other gateways accept the request.
constexpr Duration kRetryAfterShutdown = kDefaultRetryAfter / 10;

/// Status of the reply to a granted reservation.
constexpr uint32_t kGranted = 200;
/// Status of the reply to a reservation whose attempt may have run before.
constexpr uint32_t kAttemptMayHaveRun = 409;
/// Status of the response to a request that was sent to the wrong replica.
constexpr uint32_t kMisdirectedRequest = 421;

const char* describe(ResponseRelay::Refusal refusal) {
  switch (refusal) {
    case ResponseRelay::Refusal::error_too_large:
      return "the replica's failure is too large";
    case ResponseRelay::Refusal::output_too_large:
      return "the turn's output is too large to be kept";
    case ResponseRelay::Refusal::too_many_events:
      return "the turn puts out more than its caller allows";
    case ResponseRelay::Refusal::none:
      break;
  }
  return "";
}

}  // namespace

void RequestRouter::begin_shutdown(const ShutdownLimits& limits) {
  shutdown_ = limits;
  for (auto id : requests_.ids()) {
    auto& deadline = requests_.find(id)->deadline;
    deadline = limits.clamped(deadline);
  }
}

Actions RequestRouter::handle(Event event, TimePoint now) {
  std::visit([&](auto& alternative) { on(alternative, now); }, event);
  dispatch_queued(now);
  return std::exchange(actions_, {});
}

Actions RequestRouter::tick(TimePoint now) {
  for (auto id : requests_.ids())
    if (auto* request = requests_.find(id))
      check_deadlines(*request, now);
  dispatch_queued(now);
  return std::exchange(actions_, {});
}

void RequestRouter::on(RequestReceived& event, TimePoint now) {
  auto id = event.request_id;
  auto parsed = codec_.parse_request(event.request);
  if (!parsed.ok())
    return send_error(id, {400, to_string(parsed.errors())});
  auto& headers = parsed.value();
  if (headers.attempt_id.empty())
    return send_error(id, {400, "the attempt has no id"});
  if (!dispatcher_.has_majority_contact(now))
    return send_error(id, {503, "this gateway is out of touch", kRetryAfterNoContact});
  auto& routes = dispatcher_.routes();
  auto* path = routes.find(event.request.host, event.request.target);
  if (!path)
    return send_error(id, {404, "no path leads there"});

  auto request = make_active_request(std::move(event), headers, *path, routes.view(), now);
  if (shutdown_ && shutdown_->refuses(request.deadline, now))
    return send_error(id, {503, "this gateway stops before the request's time is over", kRetryAfterShutdown});
  if (shutdown_)
    request.deadline = shutdown_->clamped(request.deadline);
  if (request.runs_once()) {
    auto duplicate = requests_.find_duplicate(headers.attempt_id);
    if (duplicate == RequestTable::Duplicate::in_progress)
      return send_error(id, {502, "this attempt is under way here already"});
    if (duplicate == RequestTable::Duplicate::may_have_run)
      return send_error(id, {502, "this attempt may have run here already"});
  }
  if (request.turn)
    request.turn->events = EventReader(path->kept, limits_.turn_output_bytes);
  auto& added = requests_.add(std::move(request));
  if (added.turn)
    actions_.push_back(SendToOwner{make_reservation(added, now)});
  else
    dispatch(added, now);
}

void RequestRouter::on(ReserveTurnReply& reply, TimePoint now) {
  auto* request = requests_.find_turn(reply.attempt);
  if (!request || !request->is_reserving())
    return;
  if (reply.status != kGranted) {
    // After a conflict the attempt may have run, so the caller must not be told that it has not.
    auto status = reply.status == kAttemptMayHaveRun ? 502 : reply.status;
    send_error(request->id, {status, reply.reason, Duration(reply.retry_after_ms)});
    return finish(*request);
  }
  request->turn->chain = std::move(reply.chain);
  request->turn->phase = Turn::Phase::dispatching;
  request->wait_until = std::max(request->wait_until, now + Duration(request->path->target_ms) / 4);
  dispatch(*request, now);
}

void RequestRouter::on(const CommitTurnReply& reply, TimePoint) {
  auto* request = requests_.find_turn(reply.attempt);
  if (!request || !request->is_committing())
    return;
  if (reply.committed)
    actions_.push_back(EndResponse{request->id});
  else
    actions_.push_back(ResetResponse{request->id});
  finish(*request);
}

void RequestRouter::on(const CallerDisconnected& event, TimePoint) {
  auto* request = requests_.find(event.request_id);
  if (!request)
    return;
  if (request->attempt) {
    request->retry.on_failure(Outcome::unknown);
    actions_.push_back(CancelAttempt{request->attempt->number});
    dispatcher_.end_attempt(*request);
  }
  if (request->turn && !request->is_committing())
    send_outcome(*request, request->retry.turn_status());
  finish(*request);
}

void RequestRouter::on(ResponseHeadersReceived& event, TimePoint now) {
  auto* request = find_by_attempt(event.attempt);
  if (!request)
    return;
  auto& attempt = *request->attempt;
  auto headers = codec_.parse_response(event.status, event.fields);
  switch (check_response(*request, event, headers)) {
    case ResponseVerdict::accepted:
      return relay_.on_headers(*request, std::move(event));
    case ResponseVerdict::stale:
      attempt.skipped_stale_response = true;
      actions_.push_back(SkipStaleResponse{event.attempt});
      return;
    case ResponseVerdict::not_run: {
      // A response without an attempt id could arrive late, for the next request: the connection is not reused.
      if (headers.attempt_id.empty())
        actions_.push_back(CancelAttempt{event.attempt});
      auto backoff = event.status == kMisdirectedRequest ? kConnectFailureBackoff : kReplicaFullBackoff;
      dispatcher_.back_off(attempt.replica, now + backoff);
      return on_attempt_failed(*request, Outcome::no, "the replica did not run it: " + std::to_string(event.status),
                               now);
    }
    case ResponseVerdict::untrusted:
      actions_.push_back(CancelAttempt{event.attempt});
      dispatcher_.back_off(attempt.replica, now + kLostResponseBackoff);
      return on_attempt_failed(*request, Outcome::unknown,
                               "the replica's answer is not this request's, or promises what it can't", now);
  }
}

void RequestRouter::on(ResponseDataReceived& event, TimePoint now) {
  auto* request = find_by_attempt(event.attempt);
  if (!request)
    return;
  auto refusal = relay_.on_data(*request, std::move(event.bytes));
  if (refusal != ResponseRelay::Refusal::none)
    return cut_off(*request, describe(refusal), now);
  limit_held_responses(now);
}

void RequestRouter::eject_replica(const ActiveRequest& request, const std::string& reason, TimePoint now) {
  auto& replica = request.attempt->replica;
  auto time = dispatcher_.eject(replica, now);
  if (time > Duration::zero())
    actions_.push_back(ReportEjection{replica, reason, time});
}

void RequestRouter::limit_held_responses(TimePoint now) {
  // A turn whose outcome is being committed is counted, but no longer cut off.
  auto is_in_progress = [this](RequestId id) {
    auto* request = requests_.find(id);
    return request && request->attempt;
  };
  while (held_responses_.exceeds_limit()) {
    auto* largest = requests_.find(held_responses_.largest(is_in_progress));
    if (!largest)
      return;
    if (!relay_.release(*largest))
      cut_off(*largest, "too much is held of replicas' answers", now);
  }
}

void RequestRouter::cut_off(ActiveRequest& request, const std::string& reason, TimePoint now) {
  eject_replica(request, reason, now);
  actions_.push_back(CancelAttempt{request.attempt->number});
  bool response_started = request.attempt->streaming;
  dispatcher_.end_attempt(request);
  request.retry.on_failure(Outcome::unknown);
  if (response_started)
    return reset(request);
  reject(request, {request.retry.error_status(), reason});
}

void RequestRouter::on(const ResponseCompleted& event, TimePoint now) {
  auto* request = find_by_attempt(event.attempt);
  if (!request)
    return;
  if (ResponseRelay::ended_inside_event(*request->attempt))
    return on_attempt_failed(*request, Outcome::unknown, "the stream ended inside an event", now);
  dispatcher_.on_response_completed(request->attempt->replica);
  if (request->turn)
    on_turn_response(*request);
  else
    on_plain_response(*request, now);
}

void RequestRouter::on_plain_response(ActiveRequest& request, TimePoint now) {
  auto& attempt = *request.attempt;
  if (attempt.streaming) {
    actions_.push_back(EndResponse{request.id});
    return finish(request);
  }
  bool may_retry = is_idempotent(*request.path) && request.retry.has_attempts_left(*request.path);
  if (attempt.status >= 500 && may_retry && now < request.deadline) {
    auto reason = "the replica answered " + std::to_string(attempt.status);
    return on_attempt_failed(request, Outcome::unknown, reason, now);
  }
  relay_.send_buffered(request);
  finish(request);
}

void RequestRouter::on_turn_response(ActiveRequest& request) {
  auto& attempt = *request.attempt;
  if (!attempt.streaming) {
    relay_.send_buffered(request);
    send_outcome(request, attempt.status);
    return finish(request);
  }
  send_outcome(request, 200);
  dispatcher_.end_attempt(request);
  if (request.path->kept) {
    // The outcome has a copy of the data, which counts as held until it is committed.
    request.turn->events.discard_data();
    request.turn->phase = Turn::Phase::committing;
    return;
  }
  actions_.push_back(EndResponse{request.id});
  finish(request);
}

void RequestRouter::on(const AttemptFailed& event, TimePoint now) {
  auto* request = find_by_attempt(event.attempt);
  if (!request)
    return;
  if (event.is_malformed)
    eject_replica(*request, event.reason, now);
  auto backoff = event.possibly_sent ? kLostResponseBackoff : kConnectFailureBackoff;
  dispatcher_.back_off(request->attempt->replica, now + backoff);
  if (!event.possibly_sent)
    request->retry.on_not_sent();
  on_attempt_failed(*request, event.possibly_sent ? Outcome::unknown : Outcome::no, event.reason, now);
}

void RequestRouter::on_attempt_failed(ActiveRequest& request, Outcome executed, const std::string& reason,
                                      TimePoint now) {
  bool response_started = request.attempt && request.attempt->streaming;
  dispatcher_.end_attempt(request);
  held_responses_.update(request.id, request.held_response_bytes());
  request.retry.on_failure(executed);
  if (response_started)
    return reset(request);
  if (!request.retry.allows_retry(*request.path, executed) || now >= request.deadline)
    return reject(request, {request.retry.error_status(), reason, kRetryAfterNoReplica});
  auto max_wait = std::min(Duration(request.path->target_ms) / 4, kMaxReplicaWait);
  request.wait_until = std::max(request.wait_until, now + max_wait);
  dispatch(request, now);
}

void RequestRouter::dispatch(ActiveRequest& request, TimePoint now) {
  auto error_status = request.retry.error_status();
  switch (dispatcher_.dispatch(request, now, actions_)) {
    case AttemptDispatcher::Result::sent:
    case AttemptDispatcher::Result::queued:
      return;
    case AttemptDispatcher::Result::no_route:
      if (!request.retry.outcome_unknown())
        error_status = 404;
      return reject(request, {error_status, "its path leads there no more", kRetryAfterNoReplica});
    case AttemptDispatcher::Result::route_changed:
      return reject(request, {error_status, "its path leads there no more", kRetryAfterNoReplica});
    case AttemptDispatcher::Result::no_replica:
      return reject(request, {error_status, "no other replica serves this", kRetryAfterNoReplica});
  }
}

void RequestRouter::dispatch_queued(TimePoint now) {
  for (auto id : dispatcher_.queued())
    if (auto* request = requests_.find(id))
      dispatch(*request, now);
}

void RequestRouter::check_deadlines(ActiveRequest& request, TimePoint now) {
  bool expired = now >= request.deadline;
  if (request.is_committing()) {
    if (now < request.deadline + kTurnCommitGrace)
      return;
    actions_.push_back(ResetResponse{request.id});
    return finish(request);
  }
  if (request.attempt) {
    if (!expired)
      return;
    actions_.push_back(CancelAttempt{request.attempt->number});
    if (request.attempt->forwarded_bytes > kEndlessResponseBytes)
      eject_replica(request, "an answer did not end", now);
    if (request.attempt->streaming)
      return on_attempt_failed(request, Outcome::unknown, "", now);
    request.retry.on_failure(Outcome::unknown);
    dispatcher_.end_attempt(request);
    return reject(request, {504, "the deadline passed while a replica was at work"});
  }
  if (expired || (!request.is_reserving() && now >= request.wait_until))
    reject(request, {request.retry.error_status(), "no replica had a free place in time", kRetryAfterNoReplica});
}

void RequestRouter::reset(ActiveRequest& request) {
  actions_.push_back(ResetResponse{request.id});
  if (request.turn)
    send_outcome(request, 502);
  finish(request);
}

void RequestRouter::reject(ActiveRequest& request, ErrorResponse error) {
  if (request.turn)
    send_outcome(request, request.retry.turn_status());
  // Retry-After is sent only for requests that have not run.
  if (error.status != 503)
    error.retry_after = {};
  send_error(request.id, error);
  finish(request);
}

void RequestRouter::send_error(RequestId id, const ErrorResponse& error) {
  auto fields = codec_.rejection_headers(error.retry_after);
  fields.push_back({"Content-Type", "text/plain"});
  actions_.push_back(SendResponse{id, error.status, std::move(fields), error.reason + "\n"});
}

void RequestRouter::send_outcome(const ActiveRequest& request, uint32_t status) {
  actions_.push_back(SendToOwner{make_outcome(request, status)});
}

void RequestRouter::finish(ActiveRequest& request) {
  held_responses_.update(request.id, 0);
  dispatcher_.forget(request);
  requests_.remove(request);
}

}  // namespace mosskeel::routing
