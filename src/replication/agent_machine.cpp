#include "replication/agent_machine.hpp"
#include "replication/constants.hpp"
#include "runtime/constants.hpp"

namespace mosskeel {

AgentMachine::AgentMachine(const Identity& id, Millis now) : out_(id), follower_(out_, metadata_log_, now) {
  follower_.on_entry = [this](const Entry& e) {
    out_.send(out_.id().self.agent_address, Decided{e});
  };
}

Actions AgentMachine::step(const Envelope& e, Millis now) {
  if (follower_.is_foreign(e)) {
    out_.note(Event::foreign, "from " + e.from);
    return out_.take();
  }
  auto before = metadata_log_.epoch();
  if (auto* h = std::get_if<Heartbeat>(&e.body); h && e.from == out_.id().self.agent_address) {
    gateway_replaced_ = gateway_replaced_ || (leaving_ && mine_ && mine_->self.incarnation != h->self.incarnation);
    mine_ = *h;
    heard_ = now;
  }
  follower_.handle(e, now);
  if (metadata_log_.epoch() != before) {
    auto v = tick(now);
    for (auto& s : v.now)
      out_.act.now.push_back(std::move(s));
    for (auto& n : v.notes)
      out_.act.notes.push_back(std::move(n));
  }
  return out_.take();
}

Actions AgentMachine::tick(Millis now) {
  if (leaving_ && (gateway_replaced_ || now - heard_ > kAgentShutdownDelay))
    out_.act.stop = true;
  bool fresh = mine_ && now - heard_ < kHeartbeatInterval * 3;
  follower_.tick(now, fresh ? &*mine_ : nullptr);
  auto& m = *metadata_log_.view();
  auto* d = mine_ ? m.find(mine_->self.incarnation) : nullptr;
  if (fresh && mine_->leaving && d && now >= next_leave_ &&
      (d->state == DaemonState::up || d->state == DaemonState::registered)) {
    next_leave_ = now + kCommitAttemptTimeout / 4;
    for (auto id : m.members)
      if (auto* c = m.find(id); c->state != DaemonState::down) {
        out_.send(c->self.address,
                  Commit{"leave-" + hex(d->self.incarnation.value()), PrepareDrain{d->id}, metadata_log_.epoch()});
        break;
      }
  }
  return out_.take();
}

}  // namespace mosskeel
