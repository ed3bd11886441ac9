#include "programs/replica_dispatcher.hpp"

#include <algorithm>

#include "programs/constants.hpp"
#include "programs/model_request_body.hpp"
#include "programs/program_request.hpp"

namespace mosskeel {

void ReplicaDispatcher::dispatch(OpenRequest& open, TimePoint now) {
  const auto& metadata = context_.metadata();
  const auto* self = context_.self();
  auto replica = metadata.replicas.find(open.replica);
  bool is_usable = replica != metadata.replicas.end() && self &&
                   replica_selector_.usable_capacity(replica->second, metadata, *self, now) > 0;
  if (!is_usable || !majority_contact_.is_valid(now) || now >= open.deadline) {
    AttemptResult not_run{0, Outcome::no, "the replica left before the request reached it", 0};
    return turn_owner_.finish(open, std::move(not_run), now);
  }
  open.stage = RequestStage::running;
  open.last_activity = now;
  context_.count("dispatches");
  context_.outbox.send(kReplicaAddressPrefix + open.replica, make_call(open, replica->second, now));
}

ReplicaCall ReplicaDispatcher::make_call(const OpenRequest& open, const Replica& replica, TimePoint now) const {
  const auto& request = open.request;
  ReplicaCall call{request.attempt,   request.kind, replica.url,
                   request.method,    request.body, (open.deadline - now).count(),
                   request.idempotent};
  if (request.kind != kModelRequest) {
    call.url += request.path;
    return call;
  }
  call.method = "POST";
  call.url += "/turn";
  auto turns = conversation(history_writer_.records(open.history), request.thread);
  call.body = model_request_body(request, turns, open.reserved_tokens);
  return call;
}

OpenRequest* ReplicaDispatcher::find_running(const std::string& attempt) {
  auto* open = requests_.find(attempt);
  return open && open->stage == RequestStage::running ? open : nullptr;
}

void ReplicaDispatcher::handle(const ReplicaCallChunk& chunk, TimePoint now) {
  auto* open = find_running(chunk.attempt);
  if (!open)
    return;
  open->last_activity = now;
  if (chunk.index != open->streamed_chunks)
    return abort_stream(*open, "the replica's stream skipped or repeated a piece", now);
  if (open->streamed_tokens + chunk.tokens > open->reserved_tokens)
    return abort_stream(*open, "the replica's answer exceeds the turn's tokens", now);
  open->streamed_tokens += chunk.tokens;
  open->streamed_text += chunk.text;
  ++open->streamed_chunks;
  ProgramResponseChunk forwarded{chunk.attempt, chunk.index, chunk.text};
  context_.outbox.send(open->reply_to, std::move(forwarded), open->reply_to_incarnation);
}

void ReplicaDispatcher::abort_stream(OpenRequest& open, const std::string& reason, TimePoint now) {
  context_.outbox.log_event(Event::replica_fault, open.replica + ": " + reason);
  context_.count("replica_faults");
  cancel_call(open);
  replica_selector_.back_off(open.replica, now);
  turn_owner_.finish(open, {502, Outcome::unknown, reason, open.reserved_tokens}, now);
}

void ReplicaDispatcher::cancel_call(const OpenRequest& open) {
  context_.outbox.send(kReplicaAddressPrefix + open.replica, CancelReplicaCall{open.request.attempt});
}

void ReplicaDispatcher::handle(const ReplicaCallResponse& response, TimePoint now) {
  auto* open = find_running(response.attempt);
  if (!open)
    return;
  if (open->request.kind == kApplicationRequest)
    open->streamed_text = response.body;
  if (!is_complete(*open, response))
    return handle_failure(*open, response, now);
  retry_budget_ = std::min(retry_budget_ + kRetryBudgetPerSuccess, kMaxRetryBudget);
  turn_owner_.finish(*open, {200, Outcome::yes, "", open->streamed_tokens}, now);
}

bool ReplicaDispatcher::is_complete(const OpenRequest& open, const ReplicaCallResponse& response) const {
  bool has_whole_text = response.complete && response.status == 200 && response.checksum == digest(open.streamed_text);
  if (open.request.kind != kModelRequest)
    return has_whole_text;
  return has_whole_text && response.chunks == open.streamed_chunks && response.tokens == open.streamed_tokens;
}

void ReplicaDispatcher::handle_failure(OpenRequest& open, const ReplicaCallResponse& response, TimePoint now) {
  context_.count("replica_faults");
  auto fault = response.reason.empty() ? "status " + std::to_string(response.status) : response.reason;
  context_.outbox.log_event(Event::replica_fault, open.replica + ": " + fault);
  // A success that is not whole: its replica sent something else, too much, or too little.
  bool is_broken_success = response.status == 200 && !response.complete;
  if (is_broken_success)
    replica_selector_.back_off(open.replica, now);
  if (!response.request_sent || open.request.idempotent) {
    replica_selector_.back_off(open.replica, now);
    if (retry(open, now))
      return;
  }
  if (!response.request_sent)
    return turn_owner_.finish(open, {0, Outcome::no, "no replica could be reached", 0}, now);
  bool is_refusal = response.complete && response.status >= 400 && response.status < 500;
  if (is_refusal) {
    AttemptResult refused{response.status, Outcome::yes, "the replica refused: " + response.body, 0};
    return turn_owner_.finish(open, std::move(refused), now);
  }
  auto detail = response.reason.empty() ? "" : ": " + response.reason;
  AttemptResult broken{502, Outcome::unknown, "the replica's answer was not whole and sealed" + detail,
                       open.reserved_tokens};
  turn_owner_.finish(open, std::move(broken), now);
}

bool ReplicaDispatcher::retry(OpenRequest& open, TimePoint now) {
  if (retry_budget_ < 1 || open.streamed_chunks > 0 || now >= open.deadline)
    return false;
  retry_budget_ -= 1;
  context_.count("retries");
  if (open.is_stateless) {
    replica_selector_.release(open);
    open.waiting_since = now;
    queue_.push(open);
    return true;
  }
  const auto* self = context_.self();
  if (!self)
    return false;
  auto choice = replica_selector_.select(open.request, context_.metadata(), *self, now);
  if (!choice.replica)
    return false;
  replica_selector_.release(open);
  replica_selector_.assign(open, *choice.replica);
  dispatch(open, now);
  return true;
}

void ReplicaDispatcher::check_timeouts(OpenRequest& open, TimePoint now) {
  bool is_late = now >= open.deadline;
  bool is_stalled = now - open.last_activity > kReplicaStallTimeout;
  if (!is_late && !is_stalled)
    return;
  auto reason = is_late ? "the deadline passed while the turn was running" : "the replica fell silent";
  cancel_call(open);
  replica_selector_.back_off(open.replica, now);
  turn_owner_.finish(open, {504, Outcome::unknown, reason, open.reserved_tokens}, now);
}

}  // namespace mosskeel
