#include <algorithm>

#include "programs/admission_policy.hpp"
#include "programs/constants.hpp"
#include "runtime/constants.hpp"

namespace mosskeel {
namespace {

std::vector<std::unique_ptr<Policy>>& registry() {
  static std::vector<std::unique_ptr<Policy>> r;
  return r;
}

/// Is the worker fit to judge anything: view confirmed, in touch, not leaving.
class Touch : public Policy {
  int order() const override { return 10; }
  const char* name() const override { return "touch"; }
  std::optional<Refusal> judge(ProgramRequest&, const Situation& s) const override {
    if (!s.confirmed || !s.me)
      return Refusal{503, "this worker is not ready yet", kDefaultRetryAfter};
    if (s.stopping && !s.proxied)
      return Refusal{503, "this worker is stopping", kDefaultRetryAfter};
    if (!s.in_touch)
      return Refusal{503, "this worker is out of touch with the fleet", kDefaultRetryAfter * 2};
    if (s.m.evacuated.count(s.me->self.zone))
      return Refusal{503, "this worker's zone is evacuated", kDefaultRetryAfter};
    if (s.me->state == DaemonState::down || s.me->state == DaemonState::left)
      return Refusal{503, "this worker is marked down", kDefaultRetryAfter};
    return std::nullopt;
  }
};

/// The cell and the route must exist.
class Authenticate : public Policy {
  int order() const override { return 20; }
  const char* name() const override { return "authenticate"; }
  std::optional<Refusal> judge(ProgramRequest& e, const Situation& s) const override {
    auto* c = s.m.configuration.cell(e.cell);
    if (!c)
      return Refusal{404, "cell '" + e.cell + "' is unknown", 0};
    for (auto& r : c->routes)
      if (r.name == e.route && r.kind == e.kind)
        return std::nullopt;
    return Refusal{404, "route '" + e.route + "' of kind " + e.kind + " is unknown in cell '" + e.cell + "'", 0};
  }
};

/// Fills in what the caller left open, within the cell's limits.
class Classify : public Policy {
  int order() const override { return 30; }
  const char* name() const override { return "classify"; }
  std::optional<Refusal> judge(ProgramRequest& e, const Situation& s) const override {
    auto* c = s.m.configuration.cell(e.cell);
    if (e.kind == "model") {
      e.idempotent = false;
      if (e.program.empty())
        return Refusal{400, "program: is empty", 0};
      e.max_tokens = e.max_tokens ? std::min(e.max_tokens, c->turn_limit) : c->turn_limit;
    }
    if (e.key.empty())
      e.key = e.attempt;
    if (e.deadline_ms <= 0 || e.deadline_ms > kDefaultRequestTimeout)
      e.deadline_ms = kDefaultRequestTimeout;
    return std::nullopt;
  }
};

/// Decided on arrival, by the queue before it and the measured pace: what cannot begin in its share of time is refused
/// at once. Urgent requests have places of their own, bulk yields first.
class Admit : public Policy {
  int order() const override { return 40; }
  const char* name() const override { return "admit"; }
  std::optional<Refusal> judge(ProgramRequest& e, const Situation& s) const override {
    size_t room = e.urgent ? kMaxQueuedRequests + kUrgentQueueReserve
                  : e.bulk ? kMaxQueuedRequests / 4
                           : kMaxQueuedRequests;
    if (s.running >= kMaxRunningRequests)
      return Refusal{503, "too many requests are running", kDefaultRetryAfter * 2};
    if (!s.here)
      return std::nullopt;
    auto wait = e.urgent ? s.urgent_wait : s.wait;
    auto back = static_cast<uint32_t>(std::clamp<Millis>(wait, kDefaultRetryAfter, kMaxQueueWait * 2));
    if (s.queued >= room)
      return Refusal{503, "the queue is full", back};
    if (wait > std::min(kMaxQueueWait / 2, e.deadline_ms / 2))
      return Refusal{503, "it would wait " + std::to_string(wait) + " ms for a replica", back};
    return std::nullopt;
  }
};

const Enrolled touch{std::make_unique<Touch>()}, authenticate{std::make_unique<Authenticate>()},
    classify{std::make_unique<Classify>()}, admit{std::make_unique<Admit>()};

}  // namespace

Enrolled::Enrolled(std::unique_ptr<Policy> p) {
  registry().push_back(std::move(p));
}

const std::vector<const Policy*>& policies() {
  static const std::vector<const Policy*> v = [] {
    std::vector<const Policy*> w;
    for (auto& p : registry())
      w.push_back(p.get());
    std::sort(w.begin(), w.end(), [](auto* a, auto* b) { return a->order() < b->order(); });
    return w;
  }();
  return v;
}

}  // namespace mosskeel
