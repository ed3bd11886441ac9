#include "programs/request_forwarder.hpp"

#include "history/constants.hpp"
#include "programs/constants.hpp"

namespace mosskeel {
namespace {

/// Interval at which a request is resent after its acknowledgement, in case the response was lost.
constexpr Duration kAcknowledgedResendInterval = 4 * kStoreRetryInterval;

}  // namespace

void RequestForwarder::start(OpenRequest& open, TimePoint now) {
  const auto* owner = context_.owner_of(open.partition);
  open.stage = RequestStage::forwarded;
  open.forward_acknowledged = false;
  open.forwarded_to = owner ? owner->id : DaemonId{};
  open.waiting_since = now;
  send(open, now);
}

void RequestForwarder::send(OpenRequest& open, TimePoint now) {
  open.last_activity = now;
  const auto* owner = context_.metadata().find(open.forwarded_to);
  if (!owner)
    return;
  open.is_forwarded = true;
  context_.count("requests_forwarded_out");
  context_.send(*owner, open.request);
}

bool RequestForwarder::must_reroute(const OpenRequest& open) const {
  const auto* owner = context_.owner_of(open.partition);
  if (!owner || owner->id == open.forwarded_to)
    return false;
  const auto* previous = context_.metadata().find(open.forwarded_to);
  bool is_gone = !previous || !is_in_service(*previous);
  return is_gone || !open.forward_acknowledged;
}

void RequestForwarder::advance(OpenRequest& open, TimePoint now) {
  auto waited = now - open.waiting_since;
  if (!open.forward_acknowledged && waited > kForwardAcknowledgementTimeout + kHistoryQuorumTimeout)
    return responder_.reject(open, {503, "the program's owner does not answer", kDefaultRetryAfter}, now);
  auto interval = open.forward_acknowledged ? kAcknowledgedResendInterval : kStoreRetryInterval;
  if (now - open.last_activity >= interval)
    send(open, now);
}

OpenRequest* RequestForwarder::find_forwarded(const std::string& attempt, const Envelope& envelope) {
  auto* open = requests_.find(attempt);
  if (!open || open->stage != RequestStage::forwarded)
    return nullptr;
  const auto* owner = context_.metadata().find(open->forwarded_to);
  bool is_from_owner = owner && owner->self.incarnation == envelope.from_incarnation;
  return is_from_owner ? open : nullptr;
}

void RequestForwarder::handle(const Envelope& envelope, const ProgramRequestAcknowledgement& acknowledgement) {
  auto* open = find_forwarded(acknowledgement.attempt, envelope);
  if (open)
    open->forward_acknowledged = true;
}

void RequestForwarder::handle(const Envelope& envelope, const ProgramResponseChunk& chunk, TimePoint now) {
  auto* open = find_forwarded(chunk.attempt, envelope);
  if (!open)
    return;
  open->forward_acknowledged = true;
  open->last_activity = now;
  if (chunk.index != open->streamed_chunks)
    return;
  open->streamed_text += chunk.text;
  ++open->streamed_chunks;
  context_.outbox.send(open->reply_to, chunk);
}

OpenRequest* RequestForwarder::handle(const Envelope& envelope, const ProgramResponse& response, TimePoint now) {
  auto* open = find_forwarded(response.attempt, envelope);
  if (!open)
    return nullptr;
  if (response.wrong_owner) {
    open->is_forwarded = false;
    open->forward_acknowledged = false;
    open->last_activity = now;
    const auto* owner = context_.owner_of(open->partition);
    return owner && owner->id != open->forwarded_to ? open : nullptr;
  }
  open->response = response;
  bool says_not_run = response.executed == Outcome::no && response.status != 429;
  if (open->outcome_unknown && says_not_run)
    open->response.executed = Outcome::unknown;
  responder_.respond_after_stream(*open, now);
  return nullptr;
}

}  // namespace mosskeel
