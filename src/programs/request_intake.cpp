#include "programs/request_intake.hpp"

#include "programs/program_request.hpp"

namespace mosskeel {

OpenRequest* RequestIntake::admit(const Envelope& envelope, const ProgramRequest& request, TimePoint now) {
  ProgramRequestAcknowledgement acknowledgement{request.attempt};
  if (requests_.find(request.attempt)) {
    context_.outbox.send(envelope.from, acknowledgement, envelope.from_incarnation);
    return nullptr;
  }
  if (recent_responses_.contains(request.attempt)) {
    if (const auto* response = recent_responses_.find(request.attempt))
      context_.outbox.send(envelope.from, *response, envelope.from_incarnation);
    return nullptr;
  }
  auto& open = add(envelope, request, now);
  bool is_forwarded = !open.is_from_local_caller();
  context_.count(is_forwarded ? "requests_forwarded_in" : "requests_received");
  if (is_forwarded && is_stamped_before_term(envelope, request)) {
    auto epoch = std::to_string(envelope.epoch.value());
    context_.outbox.log_event(Event::stale_epoch_rejected, request.attempt + " is stamped with epoch " + epoch);
    open.response.wrong_owner = true;
    responder_.reject(open, {503, "placed at an epoch too old for its partition"}, now);
    return nullptr;
  }
  if (is_forwarded)
    context_.outbox.send(envelope.from, acknowledgement, envelope.from_incarnation);
  auto rejection = evaluate_admission(open.request, admission_context(open.request, is_forwarded, now));
  if (!rejection)
    return &open;
  responder_.reject(open, std::move(*rejection), now);
  return nullptr;
}

OpenRequest& RequestIntake::add(const Envelope& envelope, const ProgramRequest& request, TimePoint now) {
  OpenRequest open;
  open.request = request;
  open.reply_to = envelope.from;
  if (!open.is_from_local_caller())
    open.reply_to_incarnation = envelope.from_incarnation;
  open.arrived_at = now;
  open.arrival_number = ++arrivals_;
  open.response.attempt = request.attempt;
  return requests_.add(std::move(open));
}

/// Whether the sender's epoch precedes the partition's current term: the sender may not know yet that the program has
/// moved, even several times.
bool RequestIntake::is_stamped_before_term(const Envelope& envelope, const ProgramRequest& request) const {
  const auto& metadata = context_.metadata();
  if (envelope.epoch >= metadata.epoch || request.kind == kHistoryRequest)
    return false;
  auto partition = partition_of(request.cell, request.program);
  return envelope.epoch < metadata.partitions[partition.value()].term;
}

AdmissionContext RequestIntake::admission_context(const ProgramRequest& request, bool is_forwarded,
                                                  TimePoint now) const {
  bool is_stateless = request.kind == kApplicationRequest && (request.idempotent || request.key.empty());
  bool is_owned = !is_stateless && context_.owns(partition_of(request.cell, request.program));
  auto queued = requests_.count(RequestStage::queued) + requests_.count(RequestStage::awaiting_previous_turn) +
                requests_.count(RequestStage::opening_history);
  auto running = requests_.count(RequestStage::running) + requests_.count(RequestStage::reserving);
  return {.metadata = context_.metadata(),
          .self = context_.self(),
          .has_majority_contact = majority_contact_.is_valid(now),
          .is_confirmed = majority_contact_.is_confirmed(),
          .is_shutting_down = context_.shutdown.has_value(),
          .queued = queued,
          .running = running,
          .is_forwarded = is_forwarded,
          .is_served_here = is_stateless || is_forwarded || is_owned,
          .expected_wait = queue_.expected_wait(request.kind, false),
          .expected_urgent_wait = queue_.expected_wait(request.kind, true)};
}

}  // namespace mosskeel
