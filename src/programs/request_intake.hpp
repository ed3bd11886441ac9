#pragma once
// The arrival of a request at a gateway.
#include "programs/admission_policy.hpp"
#include "programs/majority_contact.hpp"
#include "programs/request_queue.hpp"
#include "programs/request_responder.hpp"

namespace mosskeel {

/// Takes requests from callers of this process and from gateways that forward them. An attempt is taken once: as long
/// as it is open, a duplicate is acknowledged, and later it gets the first one's response.
class RequestIntake {
 public:
  RequestIntake(GatewayContext& context, const MajorityContact& majority_contact, OpenRequests& requests,
                RecentResponses& recent_responses, const RequestQueue& queue, RequestResponder& responder)
      : context_(context),
        majority_contact_(majority_contact),
        requests_(requests),
        recent_responses_(recent_responses),
        queue_(queue),
        responder_(responder) {}

  /// Returns the request if it is new and satisfies the admission policies; else it was answered, and null is returned.
  OpenRequest* admit(const Envelope& envelope, const ProgramRequest& request, TimePoint now);

 private:
  OpenRequest& add(const Envelope& envelope, const ProgramRequest& request, TimePoint now);
  bool is_stamped_before_term(const Envelope& envelope, const ProgramRequest& request) const;
  AdmissionContext admission_context(const ProgramRequest& request, bool is_forwarded, TimePoint now) const;

  GatewayContext& context_;
  const MajorityContact& majority_contact_;
  OpenRequests& requests_;
  RecentResponses& recent_responses_;
  const RequestQueue& queue_;
  RequestResponder& responder_;
  /// Requests taken since the process started.
  uint64_t arrivals_ = 0;
};

}  // namespace mosskeel
