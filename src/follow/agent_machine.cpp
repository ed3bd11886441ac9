#include "follow/agent_machine.hpp"

#include "kernel/traffic_limits.hpp"

namespace mosskeel {

AgentMachine::AgentMachine(const Identity& id, Millis now) : out_(id), fol_(out_, led_, now) {
  fol_.on_entry = [this](const Entry& e) { out_.send(out_.id().self.agent, Decided{e}); };
}

Actions AgentMachine::step(const Envelope& e, Millis now) {
  if (fol_.foreign(e)) {
    out_.note(Event::foreign, "from " + e.from);
    return out_.take();
  }
  auto before = led_.epoch();
  if (auto* h = std::get_if<Heartbeat>(&e.body); h && e.from == out_.id().self.agent) {
    gateway_replaced_ = gateway_replaced_ || (leaving_ && mine_ && mine_->self.inc != h->self.inc);
    mine_ = *h;
    heard_ = now;
  }
  fol_.handle(e, now);
  if (led_.epoch() != before) {
    auto v = tick(now);
    for (auto& s : v.now) out_.act.now.push_back(std::move(s));
    for (auto& n : v.notes) out_.act.notes.push_back(std::move(n));
  }
  return out_.take();
}

Actions AgentMachine::tick(Millis now) {
  if (leaving_ && (gateway_replaced_ || now - heard_ > limits::agent_farewell)) out_.act.stop = true;
  bool fresh = mine_ && now - heard_ < limits::heartbeat * 3;
  fol_.tick(now, fresh ? &*mine_ : nullptr);
  auto& m = *led_.view();
  auto* d = mine_ ? m.find(mine_->self.inc) : nullptr;
  if (fresh && mine_->leaving && d && now >= next_leave_ &&
      (d->state == DaemonState::up || d->state == DaemonState::registered)) {
    next_leave_ = now + limits::tcm_rpc / 4;
    for (auto id : m.members)
      if (auto* c = m.find(id); c->state != DaemonState::down) {
        out_.send(c->self.addr, Commit{"leave-" + hex(d->self.inc.v), PrepareDrain{d->id}, led_.epoch()});
        break;
      }
  }
  return out_.take();
}

}  // namespace mosskeel
