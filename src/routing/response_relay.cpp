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
  attempt.events_last_until_close = event.lasts_until_close && (request.turn || is_event_stream(attempt));
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
  if (attempt.events_last_until_close)
    attempt.trailing_line_feeds = count_trailing_line_feeds(attempt.trailing_line_feeds, bytes);
  actions_.push_back(SendResponseData{request.id, std::move(bytes), attempt.number});
  return true;
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
