#include "consensus/graceful_shutdown.hpp"

#include <algorithm>

#include "consensus/constants.hpp"

namespace mosskeel {

void GracefulShutdown::request_mark_down() {
  const DaemonInfo& self = outbox_.id().self;
  Epoch epoch = metadata_log_.epoch();
  std::string commit_id = "leave-" + hex(self.incarnation.value()) + "-" + std::to_string(epoch.value());
  outbox_.send(self.address, Commit{commit_id, MarkDown{metadata_log_.view()->find(self.incarnation)->id}, epoch});
}

bool GracefulShutdown::is_handed_over() const {
  const Metadata& metadata = *metadata_log_.view();
  Incarnation self = outbox_.id().self.incarnation;
  const Daemon* registered = metadata.find(self);
  bool marked_down = !registered || registered->state == DaemonState::down || registered->state == DaemonState::left;
  bool has_successor = std::any_of(metadata.directory.begin(), metadata.directory.end(), [&](const auto& entry) {
    const Daemon& daemon = entry.second;
    return daemon.self.role == Role::controller && daemon.state == DaemonState::up &&
           !metadata.is_core_member(daemon.self.incarnation);
  });
  return marked_down && (!metadata.is_core_member(self) || !has_successor);
}

bool GracefulShutdown::is_complete(TimePoint now) const {
  return is_handed_over() || now - *begun_at_ >= kControllerShutdownTimeout;
}

}  // namespace mosskeel
