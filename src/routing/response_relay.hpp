#pragma once
// Passes a replica's response on to the caller.
#include "routing/active_request.hpp"

namespace mosskeel::routing {

/// Passes event streams on as they come, and other responses as a whole up to `kMaxBufferedResponseBytes`. Adds its
/// actions to the router's.
class ResponseRelay {
 public:
  explicit ResponseRelay(Actions& actions) : actions_(actions) {}
  /// The head was accepted: passes it on where the response is a stream, else keeps it.
  void on_headers(ActiveRequest& request, ResponseHeadersReceived&& event);
  /// Passes bytes on or keeps them. False where the error response to a turn is too large to be kept: a turn's error
  /// may not be streamed, since its outcome must be known before.
  [[nodiscard]] bool on_data(ActiveRequest& request, std::string&& bytes);
  /// Whether a stream whose end only the close of the connection tells ended inside an event: then it was cut.
  static bool ended_inside_event(const UpstreamAttempt& attempt);
  /// Sends a response that was kept as a whole.
  void send_buffered(ActiveRequest& request);

 private:
  void start_streaming(ActiveRequest& request);

  Actions& actions_;
};

}  // namespace mosskeel::routing
