#include "replication/agent_machine.hpp"

#include "replication/constants.hpp"
#include "runtime/constants.hpp"

namespace mosskeel {

AgentMachine::AgentMachine(const Identity& id, TimePoint now)
    : outbox_(id),
      follower_(outbox_, metadata_log_, now, {[this](const Entry& entry) { forward_entry(entry); }, nullptr}) {}

void AgentMachine::forward_entry(const Entry& entry) {
  outbox_.send(outbox_.id().self.agent_address, Decided{entry});
}

Actions AgentMachine::step(const Envelope& envelope, TimePoint now) {
  if (follower_.is_foreign(envelope)) {
    outbox_.log_event(Event::foreign, "from " + envelope.from);
    return outbox_.take();
  }
  auto epoch_before = metadata_log_.epoch();
  // In an agent's identity, `agent_address` is that of its gateway.
  auto* heartbeat = std::get_if<Heartbeat>(&envelope.body);
  if (heartbeat && envelope.from == outbox_.id().self.agent_address)
    record_gateway_heartbeat(*heartbeat, now);
  follower_.handle(envelope, now);
  if (metadata_log_.epoch() != epoch_before)
    tick_follower(now);
  return outbox_.take();
}

void AgentMachine::record_gateway_heartbeat(const Heartbeat& heartbeat, TimePoint now) {
  bool is_another = gateway_heartbeat_ && gateway_heartbeat_->self.incarnation != heartbeat.self.incarnation;
  if (shutdown_ && is_another)
    gateway_replaced_ = true;
  gateway_heartbeat_ = heartbeat;
  last_gateway_contact_at_ = now;
}

Actions AgentMachine::tick(TimePoint now) {
  bool gateway_has_gone = gateway_replaced_ || now - last_gateway_contact_at_ > kAgentShutdownDelay;
  if (shutdown_ && (gateway_has_gone || now >= shutdown_->ends_at + kShutdownMargin / 2))
    outbox_.actions.stop = true;
  tick_follower(now);
  return outbox_.take();
}

void AgentMachine::tick_follower(TimePoint now) {
  bool is_recent = gateway_heartbeat_ && now - last_gateway_contact_at_ < kHeartbeatInterval * 3;
  follower_.tick(now, is_recent ? &*gateway_heartbeat_ : nullptr);
  if (!is_recent || !gateway_heartbeat_->leaving || now < next_drain_request_at_)
    return;
  auto* gateway = metadata_log_.view()->find(gateway_heartbeat_->self.incarnation);
  if (gateway && (gateway->state == DaemonState::up || gateway->state == DaemonState::registered))
    request_drain(*gateway, now);
}

void AgentMachine::request_drain(const Daemon& gateway, TimePoint now) {
  next_drain_request_at_ = now + kCommitAttemptTimeout / 4;
  auto& metadata = *metadata_log_.view();
  auto commit_id = "leave-" + hex(gateway.self.incarnation.value());
  for (auto id : metadata.members) {
    auto* member = metadata.find(id);
    if (member->state == DaemonState::down)
      continue;
    return outbox_.send(member->self.address, Commit{commit_id, PrepareDrain{gateway.id}, metadata_log_.epoch(), {}});
  }
}

}  // namespace mosskeel
