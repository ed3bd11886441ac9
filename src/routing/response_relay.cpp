#include "routing/response_relay.hpp"

#include <algorithm>

#include "routing/constants.hpp"

namespace mosskeel::routing {
namespace {

/// Statuses from this one on are redirections or errors, which are buffered at first.
constexpr uint32_t kFirstErrorStatus = 300;

/// Number of line feeds that end an event: that of its last line and that of the blank line after it.
constexpr size_t kLineFeedsAfterEvent = 2;

bool is_event_stream(const UpstreamAttempt& attempt) {
  return header_value(attempt.fields, "content-type").starts_with("text/event-stream");
}

bool is_streamed(const ActiveRequest& request, const UpstreamAttempt& attempt) {
  return attempt.status < kFirstErrorStatus && (request.turn || is_event_stream(attempt));
}

/// Counts the line feeds at the end of a stream, of which `before` preceded these bytes. Ignores carriage returns
/// between them.
size_t count_trailing_line_feeds(size_t before, std::string_view bytes) {
  size_t count = 0;
  for (auto byte = bytes.rbegin(); byte != bytes.rend() && count < kLineFeedsAfterEvent; ++byte) {
    if (*byte == '\n')
      ++count;
    else if (*byte != '\r')
      return count;
  }
  return std::min(before + count, kLineFeedsAfterEvent);
}

}  // namespace

void ResponseRelay::on_headers(ActiveRequest& request, ResponseHeadersReceived&& event) {
  auto& attempt = *request.attempt;
  attempt.status = event.status;
  attempt.fields = std::move(event.fields);
  if (request.turn)
    request.turn->max_events = request.max_events();
  attempt.events_last_until_close = event.lasts_until_close && (request.turn || is_event_stream(attempt));
  if (is_streamed(request, attempt))
    start_streaming(request);
}

void ResponseRelay::start_streaming(ActiveRequest& request) {
  auto& attempt = *request.attempt;
  attempt.streaming = true;
  actions_.push_back(SendResponseHeaders{request.id, attempt.status, std::move(attempt.fields)});
}

ResponseRelay::Refusal ResponseRelay::on_data(ActiveRequest& request, std::string&& bytes) {
  auto& attempt = *request.attempt;
  if (!attempt.streaming) {
    attempt.buffered_body += bytes;
    auto max_bytes = held_.is_scarce() ? kMinBufferedResponseBytes : kMaxBufferedResponseBytes;
    if (attempt.buffered_body.size() > max_bytes && !release(request))
      return Refusal::error_too_large;
    update_held(request);
    return Refusal::none;
  }
  if (request.turn) {
    bool within_limit = request.turn->events.read(bytes);
    update_held(request);
    if (!within_limit)
      return Refusal::output_too_large;
    if (request.turn->events.events() > request.turn->max_events)
      return Refusal::too_many_events;
  }
  forward(request, std::move(bytes));
  return Refusal::none;
}

void ResponseRelay::forward(ActiveRequest& request, std::string&& bytes) {
  auto& attempt = *request.attempt;
  attempt.forwarded_bytes += bytes.size();
  if (attempt.events_last_until_close)
    attempt.trailing_line_feeds = count_trailing_line_feeds(attempt.trailing_line_feeds, bytes);
  actions_.push_back(SendResponseData{request.id, std::move(bytes), attempt.number});
}

bool ResponseRelay::release(ActiveRequest& request) {
  // The response to a turn is buffered only if its status is an error.
  if (request.turn || !request.attempt)
    return false;
  if (request.attempt->streaming)
    return true;
  start_streaming(request);
  forward(request, std::exchange(request.attempt->buffered_body, {}));
  update_held(request);
  return true;
}

void ResponseRelay::update_held(const ActiveRequest& request) {
  held_.update(request.id, request.held_response_bytes());
}

bool ResponseRelay::ended_inside_event(const UpstreamAttempt& attempt) {
  return attempt.streaming && attempt.events_last_until_close && attempt.trailing_line_feeds < kLineFeedsAfterEvent;
}

void ResponseRelay::send_buffered(ActiveRequest& request) {
  auto& attempt = *request.attempt;
  actions_.push_back(
      SendResponse{request.id, attempt.status, std::move(attempt.fields), std::move(attempt.buffered_body)});
}

}  // namespace mosskeel::routing
