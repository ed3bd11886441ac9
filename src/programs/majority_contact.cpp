// Whether a front is in touch and ready, and what a request meets there.
#include "programs/gateway_machine.hpp"
#include "replication/constants.hpp"

namespace mosskeel {
namespace {

/// ms; a gateway goes on without an epoch that it has heard of: shorter than the touch that an acknowledgement rests on
constexpr Millis behind_patience = kIsolationTimeout / 2;

}  // namespace

RoutingSnapshot GatewayMachine::routing_snapshot(Millis now) const {
  auto* d = me();
  bool whole = confirmed_ && d;
  return {metadata_log_.view(), d ? d->id : DaemonId{}, whole ? in_touch_until() : 0, ready(now), stopping_};
}

Millis GatewayMachine::in_touch_until() const {
  auto touch = touched_ + kIsolationTimeout;
  return behind_ ? std::min(touch, behind_->since + behind_patience) : touch;
}

bool GatewayMachine::has_majority_contact(Millis now) const {
  return now < in_touch_until();
}

bool GatewayMachine::ready(Millis now) const {
  auto* d = me();
  return confirmed_ && !stopping_ && d && d->state == DaemonState::up && has_majority_contact(now) &&
         !metadata_log_.view()->evacuated.count(d->self.zone);
}

Situation GatewayMachine::situation(Millis now, const ProgramRequest& e, bool proxied) const {
  bool direct = e.kind == "app" && (e.idempotent || e.key.empty());
  auto* o = direct ? nullptr : owner(partition_of(e.cell, e.program));
  bool here = direct || proxied || (o && o->self.incarnation == out_.id().self.incarnation);
  return {*metadata_log_.view(),
          me(),
          now,
          has_majority_contact(now),
          confirmed_,
          stopping_,
          count(Stage::queued) + count(Stage::waiting) + count(Stage::opening),
          count(Stage::running) + count(Stage::reserving),
          proxied,
          here,
          expected_wait(e.kind, false),
          expected_wait(e.kind, true)};
}

}  // namespace mosskeel
