#pragma once
// How a daemon gets into the directory.
#include "replication/metadata_log.hpp"

namespace mosskeel {

/// Asks one core member after the other to register a daemon until the directory has it, and logs when its own entry
/// changes. Both references must outlive this.
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
  /// The daemon's state in the directory when it was last looked up.
  std::optional<DaemonState> last_state_;
  /// When the earlier daemon at the same address went down, for which a request was sent at once.
  Epoch predecessor_down_since_{};
  /// How many members were asked, so that each request goes to the next one.
  size_t requests_ = 0;
};

}  // namespace mosskeel
