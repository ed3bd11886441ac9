// How a controller stops in order.
#include <algorithm>

#include "consensus/constants.hpp"
#include "consensus/controller_machine.hpp"

namespace mosskeel {

/// The others hear at once that this member stops: they take the lease over and need not wait for its silence.
void ControllerMachine::begin_shutdown(Millis now) {
  if (leaving_since_)
    return;
  leaving_since_ = now;
  lease_.resign();
  auto* me = metadata_log_.view()->find(out_.id().self.incarnation);
  if (!out_.cluster || !me) {
    out_.act.stop = true;
    return;
  }
  beat(now);
  auto commit = "leave-" + hex(me->self.incarnation.value()) + "-" + std::to_string(metadata_log_.epoch().value());
  out_.send(out_.id().self.address, Commit{commit, MarkDown{me->id}, metadata_log_.epoch()});
}

/// Waits until the mark is in the log and, where a spare could take the place, until that is done; never for long.
void ControllerMachine::end_in_order(Millis now) {
  auto& m = *metadata_log_.view();
  auto* me = m.find(out_.id().self.incarnation);
  bool marked = !me || me->state == DaemonState::down || me->state == DaemonState::left;
  bool member = m.is_core_member(out_.id().self.incarnation);
  bool replaceable = std::any_of(m.directory.begin(), m.directory.end(), [&](auto& x) {
    auto& d = x.second;
    return d.self.role == Role::controller && d.state == DaemonState::up && !m.is_core_member(d.self.incarnation);
  });
  bool handed_over = marked && (!member || !replaceable);
  if (handed_over || now - *leaving_since_ >= kControllerShutdownTimeout)
    out_.act.stop = true;
}

}  // namespace mosskeel
