// Proxying a request to the owner of its program, and the way back.
#include "request/gateway_machine.hpp"

namespace mosskeel {

void GatewayMachine::proxy(Ref w, Millis now) {
  w.last = now;
  auto* o = led_.view()->find(w.target);
  if (!o) return;
  w.sent = true;
  ++metrics_["requests_proxied_out"];
  out_.send(o->self.addr, w.e, o->self.inc);
}

void GatewayMachine::on(const Envelope& e, const RequestPiece& x, Millis now) {
  auto i = works_.find(x.attempt);
  if (i == works_.end() || i->second.stage != Stage::proxying) return;
  auto& w = i->second;
  auto* d = led_.view()->find(w.target);
  if (!d || d->self.inc != e.from_inc) return;
  w.seen = true;
  w.last = now;
  if (x.n != w.pieces) return;
  w.text += x.text;
  ++w.pieces;
  out_.send(w.reply, x);
}

void GatewayMachine::on(const Envelope& e, const RequestEnd& x, Millis now) {
  auto i = works_.find(x.attempt);
  if (i == works_.end() || i->second.stage != Stage::proxying) return;
  auto& w = i->second;
  auto* d = led_.view()->find(w.target);
  if (!d || d->self.inc != e.from_inc) return;
  if (x.elsewhere) {
    w.sent = false;
    w.seen = false;
    w.last = now;
    auto* o = owner(w.slot);
    if (o && o->id != w.target) route(w, now);
    return;
  }
  w.end = x;
  if (w.doubt && x.ran == Outcome::no && x.status != 429) w.end.ran = Outcome::unknown;
  complete(w, now);
}

/// The last word after a stream of which pieces may be missing: a whole answer fills the rest in.
void GatewayMachine::complete(Ref w, Millis now) {
  if (w.end.status == 200 && w.pieces > 0 && w.e.kind == "model") {
    auto& b = w.end.body;
    if (!b.starts_with(w.text)) {
      out_.note(Event::proxied_lost, w.e.attempt + " streamed another text than was kept");
      return refuse(w, 502, "the stream broke; the answer is kept under the key", limits::retry_ms, now,
                    Outcome::unknown);
    }
    if (b.size() > w.text.size()) {
      ++metrics_["streams_filled"];
      out_.send(w.reply, RequestPiece{w.e.attempt, w.pieces++, b.substr(w.text.size())}, w.reply_inc);
    }
  }
  w.end.pieces = w.pieces;
  end(w, now);
}

}  // namespace mosskeel
