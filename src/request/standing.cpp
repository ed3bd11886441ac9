// Whether a front is in touch and ready, and what a request meets there.
#include "request/gateway_machine.hpp"

namespace mosskeel {

RoutingSnapshot GatewayMachine::routing_snapshot(Millis now) const {
  auto* d = me();
  bool whole = confirmed_ && d && led_.epoch() >= ahead_;
  return {led_.view(), d ? d->id : DaemonId{}, whole ? touched_ + limits::isolation : 0, ready(now), stopping_};
}

bool GatewayMachine::in_touch(Millis now) const {
  return now - touched_ <= limits::isolation && led_.epoch() >= ahead_;
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
