#include "programs/request_responder.hpp"

#include "programs/program_request.hpp"

namespace mosskeel {

void RequestResponder::respond(OpenRequest& open, TimePoint now) {
  replica_selector_.release(open);
  open.response.attempt = open.request.attempt;
  if (open.response.status == 200)
    context_.count("requests_succeeded");
  context_.outbox.send(open.reply_to, open.response, open.reply_to_incarnation);
  // A local session cannot lose its response. A request for another owner is not remembered, because it may later be
  // routed here again.
  bool may_be_repeated = !open.is_from_local_caller() && !open.response.wrong_owner;
  if (may_be_repeated)
    recent_responses_.remember(open.response, now);
  auto attempt = open.request.attempt;
  requests_.close(attempt);
}

void RequestResponder::respond_after_stream(OpenRequest& open, TimePoint now) {
  bool has_streamed = open.streamed_chunks > 0 && open.request.kind == kModelRequest;
  if (open.response.status == 200 && has_streamed) {
    const auto& text = open.response.body;
    if (!text.starts_with(open.streamed_text)) {
      context_.outbox.log_event(Event::forwarded_response_lost,
                                open.request.attempt + " streamed a text that differs from the recorded one");
      RequestRejection rejection{502, "the stream broke; the answer is kept under the key", kDefaultRetryAfter,
                                 Outcome::unknown};
      return reject(open, std::move(rejection), now);
    }
    if (text.size() > open.streamed_text.size()) {
      context_.count("streams_completed_from_response");
      ProgramResponseChunk rest{open.request.attempt, open.streamed_chunks, text.substr(open.streamed_text.size())};
      ++open.streamed_chunks;
      context_.outbox.send(open.reply_to, std::move(rest), open.reply_to_incarnation);
    }
  }
  open.response.chunks = open.streamed_chunks;
  respond(open, now);
}

void RequestResponder::reject(OpenRequest& open, RequestRejection rejection, TimePoint now) {
  auto executed = rejection.executed;
  if (executed == Outcome::no && (open.outcome_unknown || open.is_forwarded))
    executed = Outcome::unknown;
  auto retry_after = rejection.retry_after;
  // Jitter prevents callers that were rejected at the same time from retrying at the same time.
  if (retry_after > 0ms)
    retry_after += context_.outbox.jitter(retry_after) / 2;
  auto& response = open.response;
  response.status = rejection.status;
  response.executed = executed;
  response.reason = std::move(rejection.reason);
  response.retry_ms = static_cast<uint32_t>(retry_after.count());
  response.chunks = open.streamed_chunks;
  context_.count(executed == Outcome::unknown ? "requests_outcome_unknown" : "requests_rejected");
  respond(open, now);
}

void RequestResponder::reject_ended_program(OpenRequest& open, TimePoint now) {
  bool is_first_attempt = open.request.kind == kHistoryRequest || open.request.key == open.request.attempt;
  auto executed = is_first_attempt ? Outcome::no : Outcome::unknown;
  reject(open, {410, "the program has ended: its retention is over", 0ms, executed}, now);
}

}  // namespace mosskeel
