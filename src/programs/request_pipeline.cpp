#include "programs/request_pipeline.hpp"

#include "history/constants.hpp"
#include "programs/constants.hpp"
#include "programs/program_request.hpp"
#include "routing/constants.hpp"

namespace mosskeel {

RequestPipeline::RequestPipeline(GatewayContext& context, const MajorityContact& majority_contact,
                                 HistoryWriter& history_writer, const TurnClient& turn_client)
    : context_(context),
      majority_contact_(majority_contact),
      history_writer_(history_writer),
      queue_(requests_),
      responder_(context, requests_, recent_responses_, replica_selector_),
      request_intake_(context, majority_contact, requests_, recent_responses_, queue_, responder_),
      turn_runners_(context, requests_, turn_client),
      outcome_sender_(context, requests_, responder_),
      outcome_receiver_(context, history_writer),
      turn_owner_(context, history_writer, requests_, replica_selector_, responder_, turn_runners_, outcome_sender_),
      replica_dispatcher_(context, majority_contact, history_writer, requests_, queue_, replica_selector_, turn_owner_),
      request_forwarder_(context, requests_, responder_),
      history_closer_(context, history_writer, requests_, turn_runners_) {}

void RequestPipeline::begin(OpenRequest& open, TimePoint now) {
  if (!set_deadline(open, now))
    return;
  auto& request = open.request;
  bool is_application_request = request.kind == kApplicationRequest;
  bool has_own_key = request.key != request.attempt;
  open.is_stateless = is_application_request && (request.idempotent || !has_own_key);
  if (open.is_stateless)
    return queue_.push(open);
  if (is_application_request) {
    // A request with a key is executed as the only turn of a program of its own, so that it runs only once.
    request.program = "app:" + request.key;
    request.thread = request.key;
  }
  open.history = {request.cell, request.program};
  open.partition = partition_of(request.cell, request.program);
  route(open, now);
}

bool RequestPipeline::set_deadline(OpenRequest& open, TimePoint now) {
  const auto& request = open.request;
  open.deadline = now + (request.deadline_ms > 0 ? Duration(request.deadline_ms) : kDefaultRequestTimeout);
  const auto& shutdown = context_.shutdown;
  if (!shutdown)
    return true;
  if (shutdown->refuses(open.deadline, now)) {
    responder_.reject(open, {503, "this gateway stops before the request's time is over", kDefaultRetryAfter}, now);
    return false;
  }
  open.deadline = shutdown->clamped(open.deadline);
  return true;
}

void RequestPipeline::limit_deadlines() {
  for (const auto& attempt : requests_.attempts()) {
    auto& deadline = requests_.find(attempt)->deadline;
    deadline = context_.shutdown->clamped(deadline);
  }
}

bool RequestPipeline::handle(const Envelope& envelope, TimePoint now) {
  const auto& body = envelope.body;
  if (const auto* request = std::get_if<ProgramRequest>(&body)) {
    if (auto* admitted = request_intake_.admit(envelope, *request, now))
      begin(*admitted, now);
  } else if (const auto* acknowledgement = std::get_if<ProgramRequestAcknowledgement>(&body)) {
    request_forwarder_.handle(envelope, *acknowledgement);
  } else if (const auto* chunk = std::get_if<ProgramResponseChunk>(&body)) {
    request_forwarder_.handle(envelope, *chunk, now);
  } else if (const auto* response = std::get_if<ProgramResponse>(&body)) {
    if (auto* rerouted = request_forwarder_.handle(envelope, *response, now))
      route(*rerouted, now);
  } else if (const auto* replica_chunk = std::get_if<ReplicaCallChunk>(&body)) {
    replica_dispatcher_.handle(*replica_chunk, now);
  } else if (const auto* replica_response = std::get_if<ReplicaCallResponse>(&body)) {
    replica_dispatcher_.handle(*replica_response, now);
  } else if (const auto* transfer = std::get_if<TransferTurnOutcome>(&body)) {
    outcome_receiver_.handle(envelope, *transfer, now);
  } else if (const auto* transfer_reply = std::get_if<TransferTurnOutcomeReply>(&body)) {
    if (auto* rerouted = outcome_sender_.handle(*transfer_reply, now))
      route(*rerouted, now);
  } else if (const auto* query = std::get_if<QueryTurnRunner>(&body)) {
    turn_runners_.handle(envelope, *query);
  } else if (const auto* query_reply = std::get_if<QueryTurnRunnerReply>(&body)) {
    turn_runners_.handle(envelope, *query_reply);
  } else if (const auto* report = std::get_if<HistoryExpired>(&body)) {
    history_closer_.handle(envelope, *report, now);
  } else {
    return false;
  }
  return true;
}

void RequestPipeline::on_history_changed(const HistoryName& history, TimePoint now) {
  advance(requests_.attempts_on(history), now);
  outcome_receiver_.advance(now);
}

void RequestPipeline::sweep(TimePoint now) {
  advance(requests_.attempts(), now);
  outcome_receiver_.advance(now);
  history_closer_.expire();
  turn_runners_.expire(now);
  recent_responses_.expire(now);
}

void RequestPipeline::advance(const std::vector<std::string>& attempts, TimePoint now) {
  for (const auto& attempt : attempts) {
    if (auto* open = requests_.find(attempt))
      advance(*open, now);
  }
}

void RequestPipeline::route(OpenRequest& open, TimePoint now) {
  open.outcome_unknown = open.outcome_unknown || open.is_forwarded;
  open.is_forwarded = false;
  if (context_.owns(open.partition)) {
    open.stage = RequestStage::opening_history;
    open.last_activity = now;
    return advance(open, now);
  }
  if (!open.is_from_local_caller()) {
    open.response.wrong_owner = true;
    return responder_.reject(open, {503, "this gateway does not own the program"}, now);
  }
  request_forwarder_.start(open, now);
}

void RequestPipeline::advance(OpenRequest& open, TimePoint now) {
  switch (open.stage) {
    case RequestStage::opening_history:
      return advance_opening(open, now);
    case RequestStage::awaiting_previous_turn:
      return advance_awaiting_previous_turn(open, now);
    case RequestStage::queued:
      return advance_queued(open, now);
    case RequestStage::reserving:
      return advance_reserving(open, now);
    case RequestStage::running:
      return replica_dispatcher_.check_timeouts(open, now);
    case RequestStage::committing_outcome:
      return advance_committing_outcome(open, now);
    case RequestStage::transferring_outcome:
      return advance_transferring_outcome(open, now);
    case RequestStage::forwarded:
      return advance_forwarded(open, now);
  }
}

void RequestPipeline::advance_opening(OpenRequest& open, TimePoint now) {
  if (!is_owned(open))
    return route(open, now);
  auto state = history_writer_.open(open.history, now);
  if (state == HistoryWriter::State::open)
    return start_on_open_history(open, now);
  if (state == HistoryWriter::State::unavailable)
    return responder_.reject(open, {503, "too few stores answer", kDefaultRetryAfter * 2}, now);
  if (now >= open.deadline)
    reject_expired(open, now);
}

void RequestPipeline::reject_expired(OpenRequest& open, TimePoint now) {
  responder_.reject(open, {503, "the deadline passed before the request could begin", kDefaultRetryAfter}, now);
}

void RequestPipeline::start_on_open_history(OpenRequest& open, TimePoint now) {
  bool has_ended = history_writer_.ended(open.history);
  bool asks_for_history = open.request.kind == kHistoryRequest;
  if ((has_ended || asks_for_history) && !turn_owner_.may_answer_from_memory(open, now))
    return;
  if (has_ended)
    return responder_.reject_ended_program(open, now);
  if (asks_for_history)
    return turn_owner_.report_history(open, now);
  if (turn_owner_.admit(open, now))
    queue_.push(open);
}

void RequestPipeline::advance_awaiting_previous_turn(OpenRequest& open, TimePoint now) {
  if (!is_owned(open))
    return route(open, now);
  if (now - open.arrived_at > kMaxQueueWait) {
    RequestRejection rejection{503, "the turn before this one is still running", kDefaultRetryAfter * 2};
    return responder_.reject(open, std::move(rejection), now);
  }
  if (now >= open.deadline)
    return reject_expired(open, now);
  open.stage = RequestStage::opening_history;
  advance(open, now);
}

void RequestPipeline::advance_queued(OpenRequest& open, TimePoint now) {
  if (!open.is_stateless && !is_owned(open))
    return route(open, now);
  bool is_late = now >= open.deadline || now - open.waiting_since > kMaxQueueWait;
  if (!is_late)
    return;
  context_.count("requests_rejected_after_queueing");
  responder_.reject(open, {503, "no replica had a free place in time", kDefaultRetryAfter * 2}, now);
}

void RequestPipeline::advance_reserving(OpenRequest& open, TimePoint now) {
  if (!holds_admitted_term(open)) {
    replica_selector_.release(open);
    open.reroute_after_transfer = true;
    open.record.kind = RecordKind::outcome;
    open.record.status = 0;
    return outcome_sender_.send(open, now);
  }
  bool reservation_is_committed = is_committed(open);
  if (!reservation_is_committed)
    return;
  // The stores have accepted the reservation from this owner, so its history includes the results of earlier attempts.
  open.outcome_unknown = false;
  replica_dispatcher_.dispatch(open, now);
}

void RequestPipeline::advance_committing_outcome(OpenRequest& open, TimePoint now) {
  bool has_moved = !holds_admitted_term(open);
  if (has_moved)
    return outcome_sender_.send(open, now);
  bool outcome_is_committed = is_committed(open);
  if (outcome_is_committed)
    responder_.respond(open, now);
}

void RequestPipeline::advance_transferring_outcome(OpenRequest& open, TimePoint now) {
  if (now - open.waiting_since > kOutcomeTransferTimeout)
    return responder_.reject(open, {502, "the outcome could not be kept", 0ms, Outcome::unknown}, now);
  if (now - open.last_activity >= kStoreRetryInterval)
    outcome_sender_.send(open, now);
}

void RequestPipeline::advance_forwarded(OpenRequest& open, TimePoint now) {
  if (now >= open.deadline)
    return responder_.reject(open, {504, "the deadline passed", kDefaultRetryAfter}, now);
  if (request_forwarder_.must_reroute(open))
    return route(open, now);
  request_forwarder_.advance(open, now);
}

bool RequestPipeline::holds_admitted_term(const OpenRequest& open) const {
  return is_owned(open) && history_writer_.term(open.history) == open.owner_term && open.owner_term.value();
}

bool RequestPipeline::is_committed(const OpenRequest& open) const {
  return history_writer_.committed_length(open.history) >= open.commit_length;
}

void RequestPipeline::dispatch_queued(TimePoint now) {
  std::vector<RequestQueue::Entry> still_waiting;
  const auto* self = context_.self();
  while (!queue_.empty() && self) {
    auto entry = queue_.pop();
    auto* open = requests_.find(entry.attempt);
    if (!open || open->stage != RequestStage::queued)
      continue;
    if (!try_dispatch(*open, *self, now))
      still_waiting.push_back(entry);
  }
  for (const auto& entry : still_waiting)
    queue_.push(entry);
}

bool RequestPipeline::try_dispatch(OpenRequest& open, const Daemon& self, TimePoint now) {
  ReplicaSelection choice;
  if (majority_contact_.is_valid(now))
    choice = replica_selector_.select(open.request, context_.metadata(), self, now);
  if (!choice.replica && choice.any_eligible)
    return false;
  if (!choice.replica) {
    responder_.reject(open, {503, "no replica serves this route now", kDefaultRetryAfter * 2}, now);
    return true;
  }
  if (!open.is_stateless && !may_still_reserve(open, now))
    return true;
  replica_selector_.assign(open, *choice.replica);
  queue_.record_departure(open.request.kind, now);
  if (open.is_stateless)
    replica_dispatcher_.dispatch(open, now);
  else
    turn_owner_.reserve(open, now);
  return true;
}

bool RequestPipeline::may_still_reserve(OpenRequest& open, TimePoint now) {
  bool is_open = history_writer_.open(open.history, now) == HistoryWriter::State::open;
  if (!is_open || history_writer_.term(open.history) != open.owner_term) {
    route(open, now);
    return false;
  }
  if (history_writer_.ended(open.history)) {
    if (turn_owner_.may_answer_from_memory(open, now))
      responder_.reject_ended_program(open, now);
    return false;
  }
  return turn_owner_.admit(open, now);
}

}  // namespace mosskeel
