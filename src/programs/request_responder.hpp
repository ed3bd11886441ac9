#pragma once
// Completion of requests: sends the response and removes the request.
#include "programs/open_requests.hpp"
#include "programs/replica_selector.hpp"

namespace mosskeel {

/// Completes requests. Every function that takes an OpenRequest closes it, which invalidates the reference.
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
  /// Rejects the request. If an owner may have run it, "has not run" is replaced by "outcome unknown".
  void reject(OpenRequest& open, RequestRejection rejection, TimePoint now);
  /// Rejects a request to a program whose retention has expired: no turn of it runs again, under any key.
  void reject_ended_program(OpenRequest& open, TimePoint now);

 private:
  GatewayContext& context_;
  OpenRequests& requests_;
  RecentResponses& recent_responses_;
  ReplicaSelector& replica_selector_;
};

}  // namespace mosskeel
