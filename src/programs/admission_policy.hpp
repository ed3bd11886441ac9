#pragma once
// Admission control: the chain of self-registering policies that a request must satisfy on arrival.
#include <memory>

#include "programs/open_request.hpp"

namespace mosskeel {

/// Input of the admission policies besides the request.
struct AdmissionContext {
  const Metadata& metadata;
  /// This gateway's directory entry, or null.
  const Daemon* self = nullptr;
  bool has_majority_contact = false;
  /// Whether the core has confirmed this gateway's view of the cluster since the process started.
  bool is_confirmed = false;
  bool is_shutting_down = false;
  /// Requests that wait on this gateway, and requests that replicas are processing for it.
  size_t queued = 0;
  size_t running = 0;
  /// Whether another gateway forwarded the request.
  bool is_forwarded = false;
  /// Whether the request would wait for a replica on this gateway rather than on another one.
  bool is_served_here = false;
  /// Expected wait according to the queue's measured service interval, in general and for urgent requests.
  Duration expected_wait{};
  Duration expected_urgent_wait{};
};

/// One condition of admission. Stateless; a policy may fill in values that the caller omitted.
class AdmissionPolicy {
 public:
  virtual ~AdmissionPolicy() = default;
  /// Policies are evaluated in ascending order.
  virtual int order() const = 0;
  virtual const char* name() const = 0;
  /// Whether the policy also applies to requests that read a history, which need no replica.
  virtual bool applies_to_history() const { return false; }
  /// Returns the rejection, or nullopt if the request satisfies the policy.
  virtual std::optional<RequestRejection> evaluate(ProgramRequest& request, const AdmissionContext& context) const = 0;
};

/// All registered policies in ascending order.
const std::vector<const AdmissionPolicy*>& admission_policies();

/// Registers a policy; instantiated as a static object.
class AdmissionPolicyRegistration {
 public:
  explicit AdmissionPolicyRegistration(std::unique_ptr<AdmissionPolicy> policy);
};

/// Evaluates all policies that apply and returns the first rejection.
std::optional<RequestRejection> evaluate_admission(ProgramRequest& request, const AdmissionContext& context);

}  // namespace mosskeel
