#pragma once
// Acceptance of requests that arrive at a gateway.
#include "programs/admission_policy.hpp"
#include "programs/majority_contact.hpp"
#include "programs/request_queue.hpp"
#include "programs/request_responder.hpp"

namespace mosskeel {

/// Accepts requests from callers of this process and from gateways that forward them. Each attempt is accepted once: a
/// duplicate is acknowledged while the attempt is open, and gets the response to the first request after that.
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

  /// Returns the request if it is new and satisfies the admission policies; else answers it and returns null.
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
  /// Number of requests accepted since the process start.
  uint64_t arrivals_ = 0;
};

}  // namespace mosskeel
