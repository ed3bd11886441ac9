// Proxying a request to the owner of its program, and the way back.
#include "programs/gateway_machine.hpp"
#include "runtime/constants.hpp"

namespace mosskeel {

void GatewayMachine::proxy(Ref w, Millis now) {
  w.last = now;
  auto* o = metadata_log_.view()->find(w.target);
  if (!o)
    return;
  w.sent = true;
  ++metrics_["requests_forwarded_out"];
  out_.send(o->self.address, w.e, o->self.incarnation);
}

void GatewayMachine::on(const Envelope& e, const ProgramResponseChunk& x, Millis now) {
  auto i = works_.find(x.attempt);
  if (i == works_.end() || i->second.stage != Stage::proxying)
    return;
  auto& w = i->second;
  auto* d = metadata_log_.view()->find(w.target);
  if (!d || d->self.incarnation != e.from_inc)
    return;
  w.seen = true;
  w.last = now;
  if (x.index != w.pieces)
    return;
  w.text += x.text;
  ++w.pieces;
  out_.send(w.reply, x);
}

void GatewayMachine::on(const Envelope& e, const ProgramResponse& x, Millis now) {
  auto i = works_.find(x.attempt);
  if (i == works_.end() || i->second.stage != Stage::proxying)
    return;
  auto& w = i->second;
  auto* d = metadata_log_.view()->find(w.target);
  if (!d || d->self.incarnation != e.from_inc)
    return;
  if (x.wrong_owner) {
    w.sent = false;
    w.seen = false;
    w.last = now;
    auto* o = owner(w.partition);
    if (o && o->id != w.target)
      route(w, now);
    return;
  }
  w.end = x;
  if (w.outcome_unknown && x.executed == Outcome::no && x.status != 429)
    w.end.executed = Outcome::unknown;
  complete(w, now);
}

/// The last word after a stream of which pieces may be missing: a whole answer fills the rest in.
void GatewayMachine::complete(Ref w, Millis now) {
  if (w.end.status == 200 && w.pieces > 0 && w.e.kind == "model") {
    auto& b = w.end.body;
    if (!b.starts_with(w.text)) {
      out_.note(Event::forwarded_response_lost, w.e.attempt + " streamed another text than was kept");
      return refuse(w, 502, "the stream broke; the answer is kept under the key", kDefaultRetryAfter, now,
                    Outcome::unknown);
    }
    if (b.size() > w.text.size()) {
      ++metrics_["streams_completed_from_response"];
      out_.send(w.reply, ProgramResponseChunk{w.e.attempt, w.pieces++, b.substr(w.text.size())}, w.reply_inc);
    }
  }
  w.end.chunks = w.pieces;
  end(w, now);
}

}  // namespace mosskeel
