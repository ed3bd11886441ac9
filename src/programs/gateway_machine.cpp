#include "programs/gateway_machine.hpp"

#include "programs/constants.hpp"

namespace mosskeel {

GatewayMachine::GatewayMachine(const Identity& id, TimePoint now)
    : context_(id),
      follower_(context_.outbox, context_.metadata_log, now),
      history_writer_(context_.outbox, context_.metadata_log),
      turn_coordinator_(context_.outbox, context_.metadata_log, history_writer_),
      turn_client_(context_.outbox, context_.metadata_log),
      majority_contact_(context_.metadata_log),
      request_pipeline_(context_, majority_contact_, history_writer_, turn_client_) {}

Actions GatewayMachine::step(const Envelope& envelope, TimePoint now) {
  bool is_from_this_process =
      envelope.from.starts_with(kLocalAddressPrefix) || envelope.from.starts_with(kReplicaAddressPrefix);
  if (!is_from_this_process && follower_.is_foreign(envelope)) {
    context_.outbox.log_event(Event::foreign, "from " + envelope.from);
    return context_.outbox.take();
  }
  auto epoch_before = context_.metadata_log.epoch();
  handle(envelope, now);
  if (context_.metadata_log.epoch() != epoch_before)
    on_epoch_applied(now);
  on_histories_changed(now);
  request_pipeline_.dispatch_queued(now);
  return context_.outbox.take();
}

void GatewayMachine::handle(const Envelope& envelope, TimePoint now) {
  if (const auto* reply = std::get_if<HeartbeatReply>(&envelope.body))
    return handle(envelope, *reply, now);
  majority_contact_.on_epoch_seen(envelope.epoch, now);
  if (follower_.handle(envelope, now) || follower_.defer(envelope, now))
    return;
  if (history_writer_.handle(envelope, now) || turn_client_.handle(envelope, now) ||
      turn_coordinator_.handle(envelope, now))
    return;
  // Messages that the pipeline does not handle either are not meant for gateways and are dropped.
  request_pipeline_.handle(envelope, now);
}

void GatewayMachine::handle(const Envelope& envelope, const HeartbeatReply& reply, TimePoint now) {
  if (envelope.from != context_.outbox.id().self.agent_address)
    return;
  follower_.apply_updates(reply.entries, reply.checkpoint);
  auto known = context_.metadata_log.epoch();
  if (reply.epoch > known)
    context_.outbox.send(envelope.from, Catchup{known});
  majority_contact_.on_heartbeat_reply(reply, now);
}

void GatewayMachine::on_epoch_applied(TimePoint now) {
  majority_contact_.on_epochs_applied(now);
  for (const auto& deferred : follower_.take_deferred())
    handle(deferred, now);
  history_writer_.tick(now);
  turn_client_.tick(now);
  send_heartbeat(now);
  sweep(now);
}

void GatewayMachine::on_histories_changed(TimePoint now) {
  auto changed = history_writer_.take_changed();
  if (changed.empty())
    return;
  turn_coordinator_.advance(changed, now);
  for (const auto& history : changed)
    request_pipeline_.on_history_changed(history, now);
}

Actions GatewayMachine::tick(TimePoint now) {
  if (now >= next_heartbeat_)
    send_heartbeat(now);
  history_writer_.tick(now);
  if (now >= next_sweep_)
    sweep(now);
  turn_client_.tick(now);
  turn_coordinator_.tick(now);
  log_majority_contact(now);
  request_pipeline_.dispatch_queued(now);
  stop_if_drained(now);
  return context_.outbox.take();
}

void GatewayMachine::send_heartbeat(TimePoint now) {
  next_heartbeat_ = now + kAgentHeartbeatInterval;
  auto open_requests = static_cast<uint32_t>(request_pipeline_.open_requests());
  Heartbeat heartbeat{};
  heartbeat.self = context_.outbox.id().self;
  heartbeat.known = context_.metadata_log.epoch();
  heartbeat.load = open_requests;
  heartbeat.running = open_requests;
  heartbeat.sent = to_milliseconds(now);
  heartbeat.leaving = context_.shutdown.has_value();
  context_.outbox.send(context_.outbox.id().self.agent_address, heartbeat);
}

void GatewayMachine::sweep(TimePoint now) {
  next_sweep_ = now + kAgentHeartbeatInterval;
  request_pipeline_.sweep(now);
}

void GatewayMachine::log_majority_contact(TimePoint now) {
  bool has_contact = has_majority_contact(now);
  if (has_contact == had_majority_contact_)
    return;
  had_majority_contact_ = has_contact;
  auto event = has_contact ? Event::majority_contact_restored : Event::majority_contact_lost;
  context_.outbox.log_event(event, "epoch " + std::to_string(context_.metadata_log.epoch().value()));
}

void GatewayMachine::stop_if_drained(TimePoint now) {
  const auto* self = context_.self();
  bool is_drained = self && self->state == DaemonState::draining && !context_.metadata().sequences.count(self->id);
  bool owns_nothing = !self || !is_in_service(*self) || is_drained;
  if (!request_pipeline_.is_idle() || turn_client_.unanswered_requests() || open_routing_sessions_)
    last_active_ = now;
  bool may_stop = owns_nothing && now - last_active_ > kShutdownGracePeriod;
  if (context_.shutdown && (may_stop || must_stop(now)))
    context_.outbox.actions.stop = true;
}

bool GatewayMachine::must_stop(TimePoint now) const {
  // The routing thread responds to its own sessions, and needs the machine to report the outcomes of their turns: they
  // have as much of the margin as the end of the process can spare.
  if (open_routing_sessions_)
    return now >= context_.shutdown->ends_at + kShutdownMargin * 4 / 5;
  bool has_open_requests = !request_pipeline_.is_idle() || turn_client_.unanswered_requests();
  return now >= context_.shutdown->ends_at + (has_open_requests ? kShutdownMargin / 2 : Duration::zero());
}

void GatewayMachine::begin_shutdown(const ShutdownLimits& limits) {
  context_.shutdown = limits;
  request_pipeline_.limit_deadlines();
}

bool GatewayMachine::ready(TimePoint now) const {
  const auto* self = context_.self();
  bool is_up = self && self->state == DaemonState::up && !context_.metadata().evacuated.count(self->self.zone);
  return is_up && majority_contact_.is_confirmed() && !context_.shutdown && has_majority_contact(now);
}

RoutingSnapshot GatewayMachine::routing_snapshot(TimePoint now) const {
  const auto* self = context_.self();
  bool knows_cluster = self && majority_contact_.is_confirmed();
  return {.view = view(),
          .self_id = self ? self->id : DaemonId{},
          .dispatch_until = knows_cluster ? majority_contact_.valid_until() : TimePoint{},
          .ready = ready(now)};
}

}  // namespace mosskeel
