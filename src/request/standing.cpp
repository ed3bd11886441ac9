// Whether a front is in touch and ready, and what a request meets there.
#include "request/gateway_machine.hpp"

namespace mosskeel {
namespace {

/// ms; a gateway goes on without an epoch that it has heard of: shorter than the touch that an acknowledgement rests on
constexpr Millis behind_patience = limits::isolation / 2;

}  // namespace

RoutingSnapshot GatewayMachine::routing_snapshot(Millis now) const {
  auto* d = me();
  bool whole = confirmed_ && d;
  return {led_.view(), d ? d->id : DaemonId{}, whole ? in_touch_until() : 0, ready(now), stopping_};
}

Millis GatewayMachine::in_touch_until() const {
  auto touch = touched_ + limits::isolation;
  return behind_ ? std::min(touch, behind_->since + behind_patience) : touch;
}

bool GatewayMachine::in_touch(Millis now) const {
  return now < in_touch_until();
}

bool GatewayMachine::ready(Millis now) const {
  auto* d = me();
  return confirmed_ && !stopping_ && d && d->state == DaemonState::up && in_touch(now) &&
         !led_.view()->evacuated.count(d->self.zone);
}

Situation GatewayMachine::situation(Millis now, const Request& e, bool proxied) const {
  bool direct = e.kind == "app" && (e.repeatable || e.key.empty());
  auto* o = direct ? nullptr : owner(slot_of(e.cell, e.program));
  bool here = direct || proxied || (o && o->self.inc == out_.id().self.inc);
  return {*led_.view(),
          me(),
          now,
          in_touch(now),
          confirmed_,
          stopping_,
          count(Stage::queued) + count(Stage::waiting) + count(Stage::opening),
          count(Stage::running) + count(Stage::intending),
          proxied,
          here,
          expected_wait(e.kind, false),
          expected_wait(e.kind, true)};
}

}  // namespace mosskeel
