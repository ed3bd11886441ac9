#include "routing/response_relay.hpp"

#include "routing/constants.hpp"

namespace mosskeel::routing {
namespace {

/// Statuses from here on are errors or redirections, which are never streamed from the head on.
constexpr uint32_t kFirstErrorStatus = 300;

bool is_streamed(const ActiveRequest& request, const UpstreamAttempt& attempt) {
  if (attempt.status >= kFirstErrorStatus)
    return false;
  return request.turn || header_value(attempt.fields, "content-type").starts_with("text/event-stream");
}

}  // namespace

void ResponseRelay::on_headers(ActiveRequest& request, ResponseHeadersReceived&& event) {
  auto& attempt = *request.attempt;
  attempt.status = event.status;
  attempt.fields = std::move(event.fields);
  if (is_streamed(request, attempt))
    start_streaming(request);
}

void ResponseRelay::start_streaming(ActiveRequest& request) {
  auto& attempt = *request.attempt;
  attempt.streaming = true;
  actions_.push_back(SendResponseHeaders{request.id, attempt.status, std::move(attempt.fields)});
}

bool ResponseRelay::on_data(ActiveRequest& request, std::string&& bytes) {
  auto& attempt = *request.attempt;
  if (!attempt.streaming) {
    attempt.buffered_body += bytes;
    if (attempt.buffered_body.size() <= kMaxBufferedResponseBytes)
      return true;
    if (request.turn && attempt.status >= kFirstErrorStatus)
      return false;
    start_streaming(request);
    bytes = std::move(attempt.buffered_body);
  }
  if (request.turn)
    request.turn->events.read(bytes);
  actions_.push_back(SendResponseData{request.id, std::move(bytes), attempt.number});
  return true;
}

void ResponseRelay::send_buffered(ActiveRequest& request) {
  auto& attempt = *request.attempt;
  actions_.push_back(
      SendResponse{request.id, attempt.status, std::move(attempt.fields), std::move(attempt.buffered_body)});
}

}  // namespace mosskeel::routing
