#pragma once
// The other controllers that have recently sent or answered discovery messages.
#include "replication/metadata_log.hpp"

namespace mosskeel {

/// Contains core members, spare controllers and controllers without a log, by incarnation. Owned by
/// `ControllerMachine`; not persisted.
class DiscoveredControllers {
 public:
  struct Peer {
    DaemonInfo info{};
    TimePoint last_seen_at{};
  };

  explicit DiscoveredControllers(Incarnation self) : self_(self) {}

  /// Records a daemon's discovery message; ignores other roles and this controller itself.
  void record(const DaemonInfo& candidate, TimePoint now);
  /// Forgets controllers that have not been seen for `kDiscoveryMemoryIntervals`, eight discovery intervals.
  void expire(TimePoint now);
  bool contains(Incarnation incarnation) const { return peers_.count(incarnation) > 0; }
  const std::map<Incarnation, Peer>& all() const { return peers_; }

 private:
  Incarnation self_;
  std::map<Incarnation, Peer> peers_;
};

}  // namespace mosskeel
