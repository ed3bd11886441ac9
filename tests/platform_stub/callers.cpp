#include "platform_stub/callers.hpp"

#include <cstdio>

#include "platform_stub/listed_replica.hpp"

namespace mosskeel::platform_stub {

namespace {

constexpr int kMaxAttempts = 4;
/// Where a response does not say when to retry.
constexpr Duration kDefaultRetryDelay = 50ms;
/// A turn is sent so often in all, with a random pause between.
constexpr int kMaxTurnSendings = 3;
constexpr Duration kMinRenewalPause = 100ms;
constexpr uint64_t kRenewalPauseRangeMs = 300;
/// The time that a program says it has left, in ms.
constexpr auto kProgramTimeLeftMs = "20000";

bool is_rejection(const HttpOutcome& outcome) {
  auto status = outcome.status;
  return outcome.is_complete && (status == 429 || status == 503 || status == 408 || status == 421);
}

bool is_success(const HttpOutcome& outcome) {
  return outcome.is_complete && outcome.status >= 200 && outcome.status < 300;
}

Duration retry_delay(const HttpOutcome& outcome) {
  std::string retry_after(header_value(outcome.fields, "Retry-After"));
  if (retry_after.empty())
    return kDefaultRetryDelay;
  auto milliseconds = static_cast<int64_t>(std::stod(retry_after) * 1000);
  return std::max(1ms, Duration(milliseconds));
}

void add_model_fields(HeaderFields& fields, const CallerRequest& request) {
  auto token_counts = std::to_string(request.prompt_tokens) + "," + std::to_string(request.max_output_tokens);
  fields.push_back({"Mosskeel-Model", "m"});
  fields.push_back({"Mosskeel-Token-Count", token_counts});
  fields.push_back({"Mosskeel-Prompt-Prefix", "a1:60," + hex(digest(request.body)) + ":40"});
}

void add_program_fields(HeaderFields& fields, const CallerRequest& request) {
  fields.push_back({"Mosskeel-Program-Id", request.program});
  fields.push_back({"Mosskeel-Session-Id", request.session});
  fields.push_back({"Mosskeel-Program-Time-Left", kProgramTimeLeftMs});
  if (request.token_budget > 0)
    fields.push_back({"Mosskeel-Token-Budget", std::to_string(request.token_budget)});
  if (!request.previous_turn.empty())
    fields.push_back({"Mosskeel-Previous-Turn", request.previous_turn});
}

HeaderFields make_fields(const CallerRequest& request, const std::string& attempt, Duration time_left) {
  HeaderFields fields{{"Host", "ask.example"},
                      {"Mosskeel-Attempt-Id", attempt},
                      {"Mosskeel-Time-Left", std::to_string(time_left.count())}};
  if (is_stream(request.kind))
    add_model_fields(fields, request);
  if (request.resume_after > 0)
    fields.push_back({"Last-Event-Id", std::to_string(request.resume_after)});
  if (!request.program.empty())
    add_program_fields(fields, request);
  return fields;
}

}  // namespace

uint64_t CallerRequest::expected_events() const {
  return max_output_tokens / kTokensPerEvent;
}

void Callers::send(std::shared_ptr<CallerRequest> request) {
  request->deadline = monotonic_now() + request->timeout;
  ++open_requests_;
  begin_attempt(request);
}

void Callers::send_plain(RequestKind kind, const std::string& route) {
  auto request = std::make_shared<CallerRequest>();
  request->kind = kind;
  request->route = route;
  request->category = route;
  request->body = "body " + environment_.random_name();
  send(request);
}

void Callers::begin_attempt(const RequestPointer& request) {
  request->gateway = request->only_gateway.empty() ? gateways_.choose_gateway() : request->only_gateway;
  request->sent_at = monotonic_now();
  auto attempt = environment_.random_name();
  auto time_left = std::max(Duration(1ms), request->deadline - monotonic_now());
  ++request->attempts;
  auto target = "/" + request->route + "/" + std::to_string(request->attempts) + "?q=1";
  auto fields = make_fields(*request, attempt, time_left);
  environment_.checker.on_sent(attempt, {.kind = request->kind,
                                         .target = target,
                                         .body = request->body,
                                         .previous_turn = request->previous_turn,
                                         .resume_after = request->resume_after,
                                         .sent_at = request->sent_at});
  UpstreamClient::Request message{request->gateway, "POST", target, std::move(fields), request->body};
  auto on_outcome = [this, request, attempt](const HttpOutcome& outcome) {
    this->on_outcome(request, attempt, outcome);
  };
  environment_.send(std::move(message), request->deadline - monotonic_now(), on_outcome, request->connection_use);
}

void Callers::on_outcome(const RequestPointer& request, const std::string& attempt, const HttpOutcome& outcome) {
  std::vector<StreamEvent> events;
  if (is_stream(request->kind) && outcome.status == 200)
    events = parse_events(outcome.body);
  check_outcome(*request, attempt, outcome, events);
  if (environment_.on_attempt_over)
    environment_.on_attempt_over({attempt, request->route, request->gateway, request->sent_at, monotonic_now(),
                                  outcome.status, outcome.is_complete, environment_.checker.was_executed(attempt)});
  auto decision = decide(*request, outcome, events);
  act_on(request, attempt, decision);
}

void Callers::check_outcome(const CallerRequest& request, const std::string& attempt, const HttpOutcome& outcome,
                            const std::vector<StreamEvent>& events) {
  auto& checker = environment_.checker;
  bool promises_no_execution = is_rejection(outcome) || (outcome.is_complete && outcome.status == 402);
  if (promises_no_execution)
    checker.on_rejected(attempt, outcome.status);
  if (request.token_budget > 0)
    checker.on_tokens_received(request.program, events.size() * kTokensPerEvent);
  if (is_success(outcome))
    checker.on_completed(attempt, outcome.fields, outcome.body);
  bool is_lost = !outcome.is_complete && checker.was_executed(attempt) && monotonic_now() < request.deadline;
  if (is_lost && !environment_.may_lose_response(request.gateway, request.sent_at))
    checker.report_violation(attempt + " was executed, but its response on " + request.route +
                             " was lost around planned work");
  bool has_all_events = !events.empty() && events.back().id == request.expected_events();
  if (is_success(outcome) && is_stream(request.kind) && !has_all_events)
    checker.report_violation(attempt + " ended before its last event");
  bool is_missing = outcome.is_complete && outcome.status == 404;
  if (is_missing && request.kind == RequestKind::turn && checker.was_completed(request.previous_turn))
    checker.report_violation(attempt + " received 404, but " + request.previous_turn + " was acknowledged");
}

Callers::Decision Callers::decide(CallerRequest& request, const HttpOutcome& outcome,
                                  const std::vector<StreamEvent>& events) {
  if (is_success(outcome))
    return {.status = outcome.status, .is_success = true};
  bool is_final = outcome.is_complete && outcome.status > 0 && outcome.status < 500 && !is_rejection(outcome);
  if (is_final && !outcome.was_not_sent)
    return {.status = outcome.status};
  if (request.kind == RequestKind::resumable && !events.empty())
    request.resume_after = events.back().id;
  // Only the end of the stream was lost, behind its last event.
  if (request.resume_after == request.expected_events())
    return {.status = 200, .is_success = true};
  bool may_retry = is_idempotent(request.kind) || is_rejection(outcome) || outcome.was_not_sent;
  return {.status = outcome.status, .may_retry = may_retry, .retry_after = retry_delay(outcome)};
}

void Callers::act_on(const RequestPointer& request, const std::string& attempt, const Decision& decision) {
  bool has_time = monotonic_now() + decision.retry_after < request->deadline;
  if (decision.may_retry && request->attempts < kMaxAttempts && has_time) {
    environment_.loop.run_after(decision.retry_after, [this, request] { begin_attempt(request); });
    return;
  }
  if (!decision.is_success && renew_turn(request, decision))
    return;
  finish(*request, {decision.status, attempt, decision.is_success});
}

bool Callers::renew_turn(const RequestPointer& request, const Decision& decision) {
  auto status = decision.status;
  bool may_succeed_later = status == 0 || status == 200 || status >= 429;
  if (!is_turn(request->kind) || !may_succeed_later)
    return false;
  if (++request->renewals >= kMaxTurnSendings)
    return false;
  request->attempts = 0;
  auto pause = kMinRenewalPause + Duration(environment_.random_below(kRenewalPauseRangeMs));
  environment_.loop.run_after(pause, [this, request] {
    request->deadline = monotonic_now() + request->timeout;
    begin_attempt(request);
  });
  return true;
}

void Callers::finish(const CallerRequest& request, const RequestResult& result) {
  --open_requests_;
  if (!request.category.empty()) {
    if (!result.is_success)
      printf("not served: %s on %s with %u\n", result.last_attempt.c_str(), request.route.c_str(), result.status);
    environment_.served.record(request.category, result.is_success);
  }
  if (request.on_done)
    request.on_done(result);
}

}  // namespace mosskeel::platform_stub
