#pragma once
// What a request must satisfy on arrival: a chain of policies that register themselves.
#include <memory>

#include "programs/open_request.hpp"

namespace mosskeel {

/// What an admission policy may look at besides the request.
struct AdmissionContext {
  const Metadata& metadata;
  /// This gateway in the directory, or null.
  const Daemon* self = nullptr;
  bool has_majority_contact = false;
  /// Whether the core has confirmed this gateway's view of the cluster since the process started.
  bool is_confirmed = false;
  bool is_shutting_down = false;
  /// Requests that wait here, and requests that a replica works on for this gateway.
  size_t queued = 0;
  size_t running = 0;
  /// Whether another gateway forwarded it.
  bool is_forwarded = false;
  /// Whether it would wait for a replica here rather than at another gateway.
  bool is_served_here = false;
  /// How long it would wait by the queue's measured pace, and how long if it were urgent.
  Duration expected_wait{};
  Duration expected_urgent_wait{};
};

/// One condition of admission. Stateless; a policy may fill in what the caller left open.
class AdmissionPolicy {
 public:
  virtual ~AdmissionPolicy() = default;
  /// Policies are asked in ascending order.
  virtual int order() const = 0;
  virtual const char* name() const = 0;
  /// Whether it also applies to the reading of a history, which takes no replica.
  virtual bool applies_to_history() const { return false; }
  /// Why the request is rejected, or nothing.
  virtual std::optional<RequestRejection> evaluate(ProgramRequest& request, const AdmissionContext& context) const = 0;
};

/// All registered policies in their order.
const std::vector<const AdmissionPolicy*>& admission_policies();

/// A static object of this type registers a policy.
class AdmissionPolicyRegistration {
 public:
  explicit AdmissionPolicyRegistration(std::unique_ptr<AdmissionPolicy> policy);
};

/// Asks all policies that apply; the first rejection stands.
std::optional<RequestRejection> evaluate_admission(ProgramRequest& request, const AdmissionContext& context);

}  // namespace mosskeel
