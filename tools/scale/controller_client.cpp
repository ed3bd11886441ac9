#include "scale/controller_client.hpp"

#include "messages/constants.hpp"
#include "replication/constants.hpp"
#include "runtime/constants.hpp"
#include "runtime/host.hpp"

namespace mosskeel::scale {

ControllerClient::ControllerClient(const FleetOptions& options) : address_(local_address(options, kClientPortOffset)) {
  for (int number = 0; number < options.plan.controllers; ++number)
    controllers.push_back(controller_address(options, number));
}

Errors ControllerClient::open() {
  auto transport = Transport::open(address_, SendQueueLimits::for_memory(0),
                                   [this](Envelope message, size_t) { received_.push(std::move(message)); });
  if (!transport.ok())
    return transport.errors();
  transport_ = std::move(transport).value();
  return {};
}

void ControllerClient::send(const Address& controller, Message body) {
  transport_->send({.protocol = kProtocolRevision,
                    .cluster = metadata_log_.view()->cluster,
                    .epoch = metadata_log_.epoch(),
                    .id = ++last_id_,
                    .from = address_,
                    .from_incarnation = Incarnation{},
                    .to = controller,
                    .to_incarnation = Incarnation{},
                    .body = std::move(body)});
}

std::optional<Envelope> ControllerClient::receive_until(TimePoint deadline) {
  while (process_now() < deadline) {
    if (auto message = received_.pop(deadline - process_now()))
      return message;
  }
  return std::nullopt;
}

void ControllerClient::update(const std::optional<Metadata>& checkpoint, const Entries& entries) {
  if (checkpoint)
    metadata_log_.install_snapshot(*checkpoint);
  for (const auto& entry : entries)
    metadata_log_.add(entry);
}

void ControllerClient::catch_up(const Address& controller) {
  send(controller, Catchup{.known = metadata_log_.epoch()});
  auto deadline = process_now() + kCommitAttemptTimeout / 2;
  while (auto message = receive_until(deadline)) {
    if (auto* reply = std::get_if<CatchupReply>(&message->body)) {
      update(reply->checkpoint, reply->entries);
      return;
    }
  }
}

MetadataSnapshot ControllerClient::view() {
  for (const auto& controller : controllers)
    catch_up(controller);
  return metadata_log_.view();
}

std::optional<CommitReply> ControllerClient::try_commit(const Address& controller, const Commit& commit) {
  send(controller, commit);
  auto deadline = process_now() + kCommitAttemptTimeout + kHeartbeatInterval;
  while (auto message = receive_until(deadline)) {
    if (auto* late = std::get_if<CatchupReply>(&message->body))
      update(late->checkpoint, late->entries);
    auto* reply = std::get_if<CommitReply>(&message->body);
    if (reply && reply->id == commit.id) {
      update(reply->checkpoint, reply->entries);
      return *reply;
    }
  }
  return std::nullopt;
}

CommitResult ControllerClient::commit(Transformation change) {
  CommitResult result;
  result.requested_at = machine_now();
  Commit commit{.id = "scale-" + std::to_string(++last_id_), .change = std::move(change)};
  auto deadline = process_now() + kCommitTimeout;
  for (size_t attempt = 0; process_now() < deadline; ++attempt) {
    commit.known_epoch = metadata_log_.epoch();
    auto reply = try_commit(controllers[attempt % controllers.size()], commit);
    if (!reply)
      continue;
    result.reason = reply->reason;
    result.epoch = reply->epoch;
    if (reply->outcome == CommitOutcome::unknown)
      continue;
    result.committed = reply->outcome == CommitOutcome::committed;
    break;
  }
  result.answered_at = machine_now();
  return result;
}

}  // namespace mosskeel::scale
