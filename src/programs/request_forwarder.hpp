#pragma once
// Requests to programs that another gateway owns.
#include "programs/request_responder.hpp"

namespace mosskeel {

/// Sends a caller's request to the program's owner and relays what comes back. The request is sent again under the
/// same attempt until the owner acknowledges it, and more rarely from there on; the owner drops duplicates. Chunks that
/// were lost are not asked for again: the relay stops at the gap and fills it from the final response.
class RequestForwarder {
 public:
  RequestForwarder(GatewayContext& context, OpenRequests& requests, RequestResponder& responder)
      : context_(context), requests_(requests), responder_(responder) {}

  /// Begins to forward a request to the partition's present owner, who may be unknown yet.
  void start(OpenRequest& open, TimePoint now);
  /// Whether a forwarded request is to be routed anew, because the partition has another owner and the request's is
  /// gone or has not acknowledged it.
  bool must_reroute(const OpenRequest& open) const;
  /// Sends the request again where that is due, and gives it up at its deadline or without an acknowledgement.
  void advance(OpenRequest& open, TimePoint now);

  void handle(const Envelope& envelope, const ProgramRequestAcknowledgement& acknowledgement);
  void handle(const Envelope& envelope, const ProgramResponseChunk& chunk, TimePoint now);
  /// Returns the request where that gateway does not own the program and another one is known to, so that it must be
  /// routed anew; else null.
  OpenRequest* handle(const Envelope& envelope, const ProgramResponse& response, TimePoint now);

 private:
  void send(OpenRequest& open, TimePoint now);
  /// The request that this message's sender was sent, or null.
  OpenRequest* find_forwarded(const std::string& attempt, const Envelope& envelope);

  GatewayContext& context_;
  OpenRequests& requests_;
  RequestResponder& responder_;
};

}  // namespace mosskeel
