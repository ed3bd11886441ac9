// Proxying an errand to the owner of its program, and the way back.
#include "errand/switchboard_machine.hpp"

namespace mosskeel {

void SwitchboardMachine::proxy(Ref w, Millis now) {
  w.last = now;
  auto* o = led_.view()->find(w.target);
  if (!o) return;
  ++tallies_["errands_proxied_out"];
  out_.send(o->self.addr, w.e, o->self.inc);
}

void SwitchboardMachine::on(const Envelope& e, const ErrandPiece& x, Millis now) {
  auto i = works_.find(x.attempt);
  if (i == works_.end() || i->second.stage != Stage::proxying) return;
  auto& w = i->second;
  auto* d = led_.view()->find(w.target);
  if (!d || d->self.inc != e.from_inc) return;
  w.seen = true;
  w.last = now;
  if (x.n < w.pieces) return;
  if (x.n > w.pieces) {
    out_.note(Event::proxied_lost, x.attempt + " lost piece " + std::to_string(w.pieces));
    return refuse(w, 502, "a piece of the stream was lost on the way; the answer is kept under the key", limits::retry_ms, now, Outcome::unknown);
  }
  ++w.pieces;
  out_.send(w.reply, x);
}

void SwitchboardMachine::on(const Envelope& e, const ErrandEnd& x, Millis now) {
  auto i = works_.find(x.attempt);
  if (i == works_.end() || i->second.stage != Stage::proxying) return;
  auto& w = i->second;
  auto* d = led_.view()->find(w.target);
  if (!d || d->self.inc != e.from_inc) return;
  if (x.elsewhere) {
    w.seen = false;
    w.last = now;
    auto* o = owner(w.slot);
    if (o && o->id != w.target) route(w, now);
    return;
  }
  if (x.status == 200 && w.pieces != x.pieces && w.pieces != 0)
    return refuse(w, 502, "pieces of the stream were lost on the way; the answer is kept under the key", limits::retry_ms, now, Outcome::unknown);
  w.end = x;
  end(w, now);
}

}  // namespace mosskeel
