// How a controller stops in order.
#include <algorithm>

#include "consensus/controller_machine.hpp"

namespace mosskeel {

/// The others hear at once that this member stops: they take the lease over and need not wait for its silence.
void ControllerMachine::leave(Millis now) {
  if (leaving_since_) return;
  leaving_since_ = now;
  lease_.resign();
  auto* me = led_.view()->find(out_.id().self.inc);
  if (!out_.cluster || !me) {
    out_.act.stop = true;
    return;
  }
  beat(now);
  auto commit = "leave-" + hex(me->self.inc.v) + "-" + std::to_string(led_.epoch().v);
  out_.send(out_.id().self.addr, Commit{commit, MarkDown{me->id}, led_.epoch()});
}

/// Waits until the mark is in the log and, where a spare could take the place, until that is done; never for long.
void ControllerMachine::end_in_order(Millis now) {
  auto& m = *led_.view();
  auto* me = m.find(out_.id().self.inc);
  bool marked = !me || me->state == DaemonState::down || me->state == DaemonState::left;
  bool member = m.member(out_.id().self.inc);
  bool replaceable = std::any_of(m.directory.begin(), m.directory.end(), [&](auto& x) {
    auto& d = x.second;
    return d.self.role == Role::controller && d.state == DaemonState::up && !m.member(d.self.inc);
  });
  bool handed_over = marked && (!member || !replaceable);
  if (handed_over || now - *leaving_since_ >= limits::leave_patience) out_.act.stop = true;
}

}  // namespace mosskeel
