#pragma once
// The other controllers that have answered or sent discovery messages lately.
#include "replication/metadata_log.hpp"

namespace mosskeel {

/// Members of the core, spare controllers and controllers without a log alike, by incarnation. Owned by
/// `ControllerMachine`; not on disk.
class DiscoveredControllers {
 public:
  struct Sighting {
    DaemonInfo candidate{};
    TimePoint last_seen_at{};
  };

  explicit DiscoveredControllers(Incarnation self) : self_(self) {}

  /// Records a daemon's discovery message; other roles and this controller itself are passed over.
  void record(const DaemonInfo& candidate, TimePoint now);
  /// Forgets controllers that were not heard for eight discovery intervals.
  void expire(TimePoint now);
  bool contains(Incarnation incarnation) const { return sightings_.count(incarnation) > 0; }
  const std::map<Incarnation, Sighting>& all() const { return sightings_; }

 private:
  Incarnation self_;
  std::map<Incarnation, Sighting> sightings_;
};

}  // namespace mosskeel
