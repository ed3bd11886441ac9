#include "programs/admission_policy.hpp"

#include <algorithm>

#include "programs/constants.hpp"
#include "programs/program_request.hpp"

namespace mosskeel {
namespace {

std::vector<std::unique_ptr<AdmissionPolicy>>& policy_registry() {
  static std::vector<std::unique_ptr<AdmissionPolicy>> policies;
  return policies;
}

RequestRejection unavailable(std::string reason, Duration retry_after) {
  return {503, std::move(reason), retry_after};
}

/// The gateway's view of the cluster must be confirmed and recent, and the gateway must be in service.
class ServingPolicy : public AdmissionPolicy {
  int order() const override { return 10; }
  const char* name() const override { return "serving"; }
  bool applies_to_history() const override { return true; }

  std::optional<RequestRejection> evaluate(ProgramRequest&, const AdmissionContext& context) const override {
    if (!context.is_confirmed || !context.self)
      return unavailable("this gateway is not ready yet", kDefaultRetryAfter);
    if (context.is_shutting_down && !context.is_forwarded)
      return unavailable("this gateway is stopping", kDefaultRetryAfter);
    if (!context.has_majority_contact)
      return unavailable("this gateway is out of touch with the fleet", kDefaultRetryAfter * 2);
    if (context.metadata.evacuated.count(context.self->self.zone))
      return unavailable("this gateway's zone is evacuated", kDefaultRetryAfter);
    auto state = context.self->state;
    if (state == DaemonState::down || state == DaemonState::left)
      return unavailable("this gateway is marked down", kDefaultRetryAfter);
    return std::nullopt;
  }
};

/// The cell and the route must exist.
class RoutePolicy : public AdmissionPolicy {
  int order() const override { return 20; }
  const char* name() const override { return "route"; }

  std::optional<RequestRejection> evaluate(ProgramRequest& request, const AdmissionContext& context) const override {
    const auto* cell = context.metadata.configuration.cell(request.cell);
    if (!cell)
      return RequestRejection{404, "cell '" + request.cell + "' is unknown"};
    if (find_route(*cell, request))
      return std::nullopt;
    return RequestRejection{
        404, "route '" + request.route + "' of kind " + request.kind + " is unknown in cell '" + request.cell + "'"};
  }
};

/// Fills in values that the caller omitted, within the cell's limits.
class DefaultsPolicy : public AdmissionPolicy {
  int order() const override { return 30; }
  const char* name() const override { return "defaults"; }

  std::optional<RequestRejection> evaluate(ProgramRequest& request, const AdmissionContext& context) const override {
    if (request.kind == kModelRequest) {
      const auto* cell = context.metadata.configuration.cell(request.cell);
      request.idempotent = false;
      if (request.program.empty())
        return RequestRejection{400, "program: is empty"};
      bool names_limit = request.max_tokens != 0;
      request.max_tokens = names_limit ? std::min(request.max_tokens, cell->turn_limit) : cell->turn_limit;
    }
    if (request.key.empty())
      request.key = request.attempt;
    request.deadline_ms = request_timeout(request).count();
    return std::nullopt;
  }
};

/// Sheds load on arrival by queue length and measured service interval: a request that is not expected to start in time
/// is rejected immediately. Urgent requests have reserved queue entries; bulk requests may use only a quarter of the
/// queue.
class LoadPolicy : public AdmissionPolicy {
  int order() const override { return 40; }
  const char* name() const override { return "load"; }

  static size_t queue_capacity(const ProgramRequest& request) {
    if (request.urgent)
      return kMaxQueuedRequests + kUrgentQueueReserve;
    if (request.bulk)
      return kMaxQueuedRequests / 4;
    return kMaxQueuedRequests;
  }

  std::optional<RequestRejection> evaluate(ProgramRequest& request, const AdmissionContext& context) const override {
    if (context.running >= kMaxRunningRequests)
      return unavailable("too many requests are running", kDefaultRetryAfter * 2);
    if (!context.is_served_here)
      return std::nullopt;
    auto wait = request.urgent ? context.expected_urgent_wait : context.expected_wait;
    auto retry_after = std::clamp(wait, kDefaultRetryAfter, kMaxQueueWait * 2);
    if (context.queued >= queue_capacity(request))
      return unavailable("the queue is full", retry_after);
    if (wait > std::min(kMaxQueueWait / 2, Duration(request.deadline_ms) / 2))
      return unavailable("it would wait " + std::to_string(wait.count()) + " ms for a replica", retry_after);
    return std::nullopt;
  }
};

const AdmissionPolicyRegistration kServingPolicy{std::make_unique<ServingPolicy>()};
const AdmissionPolicyRegistration kRoutePolicy{std::make_unique<RoutePolicy>()};
const AdmissionPolicyRegistration kDefaultsPolicy{std::make_unique<DefaultsPolicy>()};
const AdmissionPolicyRegistration kLoadPolicy{std::make_unique<LoadPolicy>()};

}  // namespace

AdmissionPolicyRegistration::AdmissionPolicyRegistration(std::unique_ptr<AdmissionPolicy> policy) {
  policy_registry().push_back(std::move(policy));
}

const std::vector<const AdmissionPolicy*>& admission_policies() {
  static const std::vector<const AdmissionPolicy*> ordered = [] {
    std::vector<const AdmissionPolicy*> policies;
    for (const auto& policy : policy_registry())
      policies.push_back(policy.get());
    std::sort(policies.begin(), policies.end(), [](auto* left, auto* right) { return left->order() < right->order(); });
    return policies;
  }();
  return ordered;
}

std::optional<RequestRejection> evaluate_admission(ProgramRequest& request, const AdmissionContext& context) {
  bool reads_history = request.kind == kHistoryRequest;
  for (const auto* policy : admission_policies()) {
    if (reads_history && !policy->applies_to_history())
      continue;
    if (auto rejection = policy->evaluate(request, context))
      return rejection;
  }
  return std::nullopt;
}

}  // namespace mosskeel
