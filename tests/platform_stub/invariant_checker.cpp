#include "platform_stub/invariant_checker.hpp"

#include <cstdio>

#include "platform_stub/event_stream.hpp"

namespace mosskeel::platform_stub {

namespace {

/// Violations that are printed; more of them would only hide the first ones.
constexpr int kMaxPrintedViolations = 50;
/// Bytes of a body that a violation quotes.
constexpr size_t kQuotedBytes = 200;

std::string quote(const std::string& body) {
  return body.substr(0, kQuotedBytes);
}

}  // namespace

void InvariantChecker::report_violation(const std::string& what) {
  if (++violations_ <= kMaxPrintedViolations)
    printf("violation: %s\n", what.c_str());
  fflush(stdout);
}

const SentAttempt* InvariantChecker::find_sent(const std::string& attempt) const {
  auto found = sent_.find(attempt);
  return found == sent_.end() ? nullptr : &found->second;
}

void InvariantChecker::on_executed(const std::string& attempt, const std::string& service, const HttpRequest& request) {
  const auto* sent = find_sent(attempt);
  if (!sent) {
    report_violation(attempt + " was executed, but nobody sent it");
    return;
  }
  check_request(attempt, *sent, request);
  bool is_repeated = ++executions_[attempt] > 1;
  if (is_repeated && !is_idempotent(sent->kind))
    report_violation(attempt + " was executed twice");
  auto rejected = rejected_.find(attempt);
  if (rejected != rejected_.end() && !is_idempotent(sent->kind))
    report_violation(attempt + " was executed after its " + std::to_string(rejected->second));
  check_route(attempt, *sent, service);
}

void InvariantChecker::check_request(const std::string& attempt, const SentAttempt& sent, const HttpRequest& request) {
  if (request.target != sent.target || request.method != "POST")
    report_violation(attempt + " was executed as " + request.method + " " + request.target);
  auto expected = sent.body;
  if (sent.kind == RequestKind::turn)
    expected = chain_text(sent.previous_turn) + sent.body;
  if (request.body != expected)
    report_violation(attempt + " was executed with another body: " + quote(request.body) + " instead of " +
                     quote(expected));
}

void InvariantChecker::check_route(const std::string& attempt, const SentAttempt& sent, const std::string& service) {
  for (const auto& [prefix, rule] : routes_) {
    if (sent.target.starts_with(prefix) && sent.sent_at > rule.valid_from && service != rule.service)
      report_violation(attempt + " to " + prefix + " was executed by " + service + ", as an older configuration says");
  }
}

void InvariantChecker::on_response_made(const std::string& attempt, const std::string& seal, const std::string& body) {
  made_[attempt][seal] = body;
}

void InvariantChecker::on_rejected(const std::string& attempt, uint32_t status) {
  rejected_[attempt] = status;
  const auto* sent = find_sent(attempt);
  if (sent && !is_idempotent(sent->kind) && was_executed(attempt))
    report_violation(attempt + " received " + std::to_string(status) + " but was executed");
}

void InvariantChecker::on_completed(const std::string& attempt, const HeaderFields& fields, const std::string& body) {
  if (header_value(fields, "Mosskeel-Attempt-Id") != attempt)
    report_violation(attempt + " received the response to another attempt");
  check_seal(attempt, std::string(header_value(fields, "Mosskeel-Server-Seal")), body);
  const auto& sent = sent_.at(attempt);
  if (!is_stream(sent.kind))
    return;
  auto output = check_events(attempt, sent.resume_after, body);
  if (sent.kind == RequestKind::turn)
    completed_turns_[attempt] = {sent.previous_turn, sent.body, std::move(output)};
}

void InvariantChecker::check_seal(const std::string& attempt, const std::string& seal, const std::string& body) {
  const auto& made = made_[attempt];
  auto found = made.find(seal);
  if (seal.empty() || found == made.end())
    report_violation(attempt + " received a success whose seal '" + seal + "' no replica made whole");
  else if (found->second != body)
    report_violation(attempt + " received another body than its replica made");
}

std::string InvariantChecker::check_events(const std::string& attempt, uint64_t resume_after, const std::string& body) {
  std::string output;
  uint64_t last_id = resume_after;
  for (const auto& event : parse_events(body)) {
    if (event.id != last_id + 1)
      report_violation(attempt + " received event " + std::to_string(event.id) + " behind " + std::to_string(last_id));
    last_id = event.id;
    output += event.data + "\n";
  }
  return output;
}

void InvariantChecker::set_token_budget(const std::string& program, uint64_t budget, uint64_t max_excess) {
  auto& tokens = tokens_[program];
  tokens.budget = budget;
  tokens.max_excess = max_excess;
}

void InvariantChecker::set_route(const std::string& prefix, const std::string& service, MonotonicTime valid_from) {
  routes_[prefix] = {service, valid_from};
}

std::string InvariantChecker::chain_text(const std::string& turn) const {
  auto found = completed_turns_.find(turn);
  if (found == completed_turns_.end())
    return "";
  const auto& completed = found->second;
  return chain_text(completed.previous_turn) + completed.input + completed.output;
}

void InvariantChecker::check_totals() {
  for (const auto& [program, tokens] : tokens_) {
    if (tokens.budget && tokens.received > *tokens.budget + tokens.max_excess)
      report_violation("program " + program + " received " + std::to_string(tokens.received) + " tokens of " +
                       std::to_string(*tokens.budget));
  }
  for (const auto& [attempt, count] : executions_) {
    if (count > 1 && !is_idempotent(sent_.at(attempt).kind))
      report_violation(attempt + " was executed " + std::to_string(count) + " times");
  }
}

}  // namespace mosskeel::platform_stub
