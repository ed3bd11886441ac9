#pragma once
// Forwarding of requests to programs that another gateway owns.
#include "programs/request_responder.hpp"

namespace mosskeel {

/// Sends a caller's request to the program's owner and relays the response. The request is resent under the same
/// attempt id until the owner acknowledges it, and less often after that; the owner drops duplicates. Lost chunks are
/// not requested again: the relay stops at the gap and fills it from the final response.
class RequestForwarder {
 public:
  RequestForwarder(GatewayContext& context, OpenRequests& requests, RequestResponder& responder)
      : context_(context), requests_(requests), responder_(responder) {}

  /// Starts to forward a request to the partition's current owner, which may not be known yet.
  void start(OpenRequest& open, TimePoint now);
  /// Whether a forwarded request must be routed again, because the partition has a new owner and the previous one is
  /// out of service or has not acknowledged the request.
  bool must_reroute(const OpenRequest& open) const;
  /// Resends the request when that is due, and rejects it if the owner does not acknowledge it in time.
  void advance(OpenRequest& open, TimePoint now);

  void handle(const Envelope& envelope, const ProgramRequestAcknowledgement& acknowledgement);
  void handle(const Envelope& envelope, const ProgramResponseChunk& chunk, TimePoint now);
  /// Returns the request if it must be routed again, because the sender does not own the program and another owner is
  /// known; else null.
  OpenRequest* handle(const Envelope& envelope, const ProgramResponse& response, TimePoint now);

 private:
  void send(OpenRequest& open, TimePoint now);
  /// The request that was forwarded to the sender of this message, or null.
  OpenRequest* find_forwarded(const std::string& attempt, const Envelope& envelope);

  GatewayContext& context_;
  OpenRequests& requests_;
  RequestResponder& responder_;
};

}  // namespace mosskeel
