#pragma once
// How a request ends: its response goes out and it is forgotten.
#include "programs/open_requests.hpp"
#include "programs/replica_selector.hpp"

namespace mosskeel {

/// Ends requests. Every function that takes an OpenRequest closes it: the reference is invalid afterwards.
class RequestResponder {
 public:
  RequestResponder(GatewayContext& context, OpenRequests& requests, RecentResponses& recent_responses,
                   ReplicaSelector& replica_selector)
      : context_(context),
        requests_(requests),
        recent_responses_(recent_responses),
        replica_selector_(replica_selector) {}

  /// Sends `open.response`.
  void respond(OpenRequest& open, TimePoint now);
  /// Sends a response that may follow a stream with gaps: the rest of the text is sent as a chunk before it.
  void respond_after_stream(OpenRequest& open, TimePoint now);
  /// Turns the request down. Where an owner may have run it, "has not run" becomes "outcome unknown".
  void reject(OpenRequest& open, RequestRejection rejection, TimePoint now);
  /// Turns down a request to a program whose retention is over: nothing runs on it again, under any key.
  void reject_ended_program(OpenRequest& open, TimePoint now);

 private:
  GatewayContext& context_;
  OpenRequests& requests_;
  RecentResponses& recent_responses_;
  ReplicaSelector& replica_selector_;
};

}  // namespace mosskeel
