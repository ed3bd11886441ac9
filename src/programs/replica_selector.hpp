#pragma once
// Which replica a request of a cell's route is sent to.
#include "programs/open_request.hpp"

namespace mosskeel {

/// The outcome of a selection.
struct ReplicaSelection {
  /// The best replica with free capacity, or null. Points into the metadata that was given.
  const Replica* replica = nullptr;
  /// Whether any replica serves the route here; without a free one the request may wait for it.
  bool any_eligible = false;
};

/// Chooses replicas and counts what this gateway runs on each. Owned by GatewayMachine, used in its thread only.
class ReplicaSelector {
 public:
  /// Prefers replicas that are not backed off, then less than half loaded, then (for application requests) in the own
  /// zone, then by rendezvous hashing of the prefix, so that turns with a common prefix meet the same prefix cache.
  ReplicaSelection select(const ProgramRequest& request, const Metadata& metadata, const Daemon& self, TimePoint now);
  /// Holds capacity of the replica for the request.
  void assign(OpenRequest& open, const Replica& replica);
  /// Frees the capacity that the request holds, if any.
  void release(OpenRequest& open);
  /// Avoids a replica that failed for kReplicaBackoff.
  void back_off(const std::string& replica, TimePoint now);
  /// How many requests this gateway may run on a replica now. The capacity is shared out over the gateways in the log,
  /// at least one each; while a replica is cold, one gateway alone ramps it up for the whole fleet (slow start).
  uint32_t usable_capacity(const Replica& replica, const Metadata& metadata, const Daemon& self, TimePoint now);

 private:
  struct Load {
    uint32_t requests = 0;
    /// Those of the class `bulk` among them.
    uint32_t bulk_requests = 0;
  };
  struct SlowStart {
    /// The epoch at which the replica became cold: a later one begins another slow start.
    Epoch cold_since_epoch{};
    TimePoint started_at{};
  };

  bool has_free_capacity(const ProgramRequest& request, const std::string& replica, uint32_t capacity) const;
  uint32_t load_of(const std::string& replica) const;
  bool is_backed_off(const std::string& replica, TimePoint now) const;

  std::map<std::string, Load> load_;
  std::map<std::string, TimePoint> backed_off_until_;
  std::map<std::string, SlowStart> slow_starts_;
};

}  // namespace mosskeel
