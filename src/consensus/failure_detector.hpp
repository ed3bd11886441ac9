#pragma once
// Records the heartbeats that one controller has received: when they arrived and what they reported.
#include "consensus/constants.hpp"
#include "replication/metadata_log.hpp"

namespace mosskeel {

/// What the heartbeats of one incarnation of a daemon have reported; later reports replace earlier ones.
struct PeerStatus {
  TimePoint last_heartbeat_at{};
  /// The highest epoch that it has reported; a daemon with a disk has synced the log up to it.
  Epoch known_epoch{};
  uint32_t load = 0;
  /// A store has streamed all histories that it took over up to this epoch.
  Epoch streamed_epoch{};
  uint32_t running = 0;
  DaemonInfo self{};
  /// A store's comparisons with its peers that found histories missing on the store.
  uint32_t incomplete_comparisons = 0;
  /// Whether its process is shutting down gracefully.
  bool leaving = false;
};

/// Keeps the last heartbeat of each daemon. Makes no decisions: the supervisor combines the observations of a majority
/// of the members. Times are of this controller's clock. Owned by `ControllerMachine` and used on its thread only.
class FailureDetector {
 public:
  /// A daemon without any heartbeat counts as last heard at `start`.
  explicit FailureDetector(TimePoint start) : start_(start) {}

  void record(const Heartbeat& heartbeat, TimePoint now);
  /// Null for an incarnation that has sent no heartbeat.
  const PeerStatus* status_of(Incarnation incarnation) const;
  /// The time since the daemon's last heartbeat.
  Duration heartbeat_age(const Daemon& daemon, TimePoint now) const;
  HeartbeatAges heartbeat_ages(const Metadata& metadata, TimePoint now) const;
  /// Whether another incarnation has sent heartbeats from a daemon's address since the daemon's own last heartbeat, so
  /// that its process must have ended.
  bool superseded(const Daemon& daemon, TimePoint now) const;

 private:
  TimePoint start_{};
  std::map<Incarnation, PeerStatus> peers_;
};

}  // namespace mosskeel
