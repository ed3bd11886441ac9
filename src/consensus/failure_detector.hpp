#pragma once
// Whose heartbeats came when, and what they reported: the observations of one controller.
#include "consensus/constants.hpp"
#include "replication/metadata_log.hpp"

namespace mosskeel {

/// What the heartbeats of one incarnation of a daemon have reported, the latest first.
struct PeerStatus {
  TimePoint last_heartbeat_at{};
  /// The highest epoch that it has reported; a daemon with a disk has synced the log up to it.
  Epoch known_epoch{};
  uint32_t load = 0;
  /// A store has all histories that it took over by this epoch.
  Epoch streamed_epoch{};
  uint32_t running = 0;
  DaemonInfo self{};
  /// A store's comparisons with its peers that have found histories missing here.
  uint32_t incomplete_comparisons = 0;
  /// Its process is shutting down in order.
  bool leaving = false;
};

/// Keeps the last heartbeat of each daemon. Decides nothing: the supervisor asks a majority of the members for theirs.
/// Times are this controller's own; owned by `ControllerMachine` and used on its thread only.
class FailureDetector {
 public:
  /// A daemon without any heartbeat counts as heard at `start`.
  explicit FailureDetector(TimePoint start) : start_(start) {}

  void record(const Heartbeat& heartbeat, TimePoint now);
  /// Nothing for an incarnation that has sent no heartbeat.
  const PeerStatus* status_of(Incarnation incarnation) const;
  /// The time since the daemon's last heartbeat.
  Duration heartbeat_age(const Daemon& daemon, TimePoint now) const;
  HeartbeatAges heartbeat_ages(const Metadata& metadata, TimePoint now) const;
  /// Whether another incarnation speaks at a daemon's address since the daemon's own last heartbeat: its process has
  /// ended.
  bool superseded(const Daemon& daemon, TimePoint now) const;

 private:
  TimePoint start_{};
  std::map<Incarnation, PeerStatus> peers_;
};

}  // namespace mosskeel
