#pragma once
// Registration of a daemon in the cluster's directory.
#include "replication/metadata_log.hpp"

namespace mosskeel {

/// Asks the core members in turn to register a daemon until the directory has it, and logs changes of the daemon's
/// directory entry. Both references must outlive this.
class Registration {
 public:
  Registration(Outbox& outbox, const MetadataLog& metadata_log) : outbox_(outbox), metadata_log_(metadata_log) {}

  void tick(TimePoint now, const DaemonInfo& self);

 private:
  void log_state_change(const DaemonInfo& self, const Daemon* registered);
  void send_request(const DaemonInfo& self);

  Outbox& outbox_;
  const MetadataLog& metadata_log_;
  TimePoint next_request_at_{};
  /// The daemon's state in the directory at the last lookup.
  std::optional<DaemonState> last_state_;
  /// The epoch at which the predecessor at the same address was marked down; a request was then sent at once.
  Epoch predecessor_down_since_{};
  /// Number of requests so far, so that each one goes to the next member.
  size_t requests_ = 0;
};

}  // namespace mosskeel
