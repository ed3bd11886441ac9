#pragma once
// Forwards a replica's response to the caller.
#include "routing/active_request.hpp"
#include "routing/held_responses.hpp"

namespace mosskeel::routing {

/// Streams event streams, and buffers other responses up to `kMaxBufferedResponseBytes`, or less while much is held for
/// other requests. Appends its actions to those of the router.
class ResponseRelay {
 public:
  /// Why a response cannot be forwarded any further.
  enum class Refusal {
    none,
    error_too_large,   ///< the error response to a turn, which must be known as a whole before it is forwarded
    output_too_large,  ///< the output of a turn, which must be kept
    too_many_events,   ///< more than the caller has said that the turn may put out
  };
  ResponseRelay(Actions& actions, HeldResponses& held) : actions_(actions), held_(held) {}
  /// Handles accepted status and headers: forwards them if the response is streamed, else stores them.
  void on_headers(ActiveRequest& request, ResponseHeadersReceived&& event);
  /// Forwards or buffers body bytes, unless that is refused.
  [[nodiscard]] Refusal on_data(ActiveRequest& request, std::string&& bytes);
  /// Forwards what is buffered of a response that is not complete, so that nothing of it is held.
  /// @return false if it must not be forwarded yet, or must be kept.
  [[nodiscard]] bool release(ActiveRequest& request);
  /// Whether an event stream that lasts until the connection is closed ended within an event, so that it was truncated.
  static bool ended_inside_event(const UpstreamAttempt& attempt);
  /// Sends a response that was buffered completely.
  void send_buffered(ActiveRequest& request);

 private:
  void start_streaming(ActiveRequest& request);

  void forward(ActiveRequest& request, std::string&& bytes);
  void update_held(const ActiveRequest& request);

  Actions& actions_;
  HeldResponses& held_;
};

}  // namespace mosskeel::routing
