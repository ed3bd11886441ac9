#pragma once
// Selection of the replica that a request on a cell's route is sent to.
#include "programs/open_request.hpp"

namespace mosskeel {

/// The result of a selection.
struct ReplicaSelection {
  /// The best replica with free capacity, or null. Points into the metadata passed to `select`.
  const Replica* replica = nullptr;
  /// Whether this gateway may use any replica of the route; if none has free capacity, the request may wait.
  bool any_eligible = false;
};

/// Selects replicas and counts the requests that this gateway runs on each. Owned by GatewayMachine; used only on its
/// thread.
class ReplicaSelector {
 public:
  /// Prefers replicas that are not in backoff, then those less than half loaded, then (for application requests) those
  /// in this gateway's zone, then by rendezvous hashing of the prefix, so that turns with a common prefix use the same
  /// prefix cache.
  ReplicaSelection select(const ProgramRequest& request, const Metadata& metadata, const Daemon& self, TimePoint now);
  /// Assigns the replica to the request, which occupies capacity of it.
  void assign(OpenRequest& open, const Replica& replica);
  /// Releases the capacity that the request occupies, if any.
  void release(OpenRequest& open);
  /// Avoids a failed replica for kReplicaBackoff.
  void back_off(const std::string& replica, TimePoint now);
  /// Number of requests that this gateway may currently run on a replica. The capacity is divided among the gateways in
  /// the log, at least one request each; while a replica is cold, a single gateway ramps it up (slow start).
  uint32_t usable_capacity(const Replica& replica, const Metadata& metadata, const Daemon& self, TimePoint now);

 private:
  struct Load {
    uint32_t requests = 0;
    /// The bulk requests among them.
    uint32_t bulk_requests = 0;
  };
  struct SlowStart {
    /// The epoch at which the replica became cold; a later epoch starts another slow start.
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
