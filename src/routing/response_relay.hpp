#pragma once
// Forwards a replica's response to the caller.
#include "routing/active_request.hpp"

namespace mosskeel::routing {

/// Streams event streams, and buffers other responses up to `kMaxBufferedResponseBytes`. Appends its actions to those
/// of the router.
class ResponseRelay {
 public:
  explicit ResponseRelay(Actions& actions) : actions_(actions) {}
  /// Handles accepted status and headers: forwards them if the response is streamed, else stores them.
  void on_headers(ActiveRequest& request, ResponseHeadersReceived&& event);
  /// Forwards or buffers body bytes. Returns false if the error response to a turn is too large for the buffer: it must
  /// not be streamed, because the turn's outcome must be known first.
  [[nodiscard]] bool on_data(ActiveRequest& request, std::string&& bytes);
  /// Whether an event stream that lasts until the connection is closed ended within an event, so that it was truncated.
  static bool ended_inside_event(const UpstreamAttempt& attempt);
  /// Sends a response that was buffered completely.
  void send_buffered(ActiveRequest& request);

 private:
  void start_streaming(ActiveRequest& request);

  Actions& actions_;
};

}  // namespace mosskeel::routing
