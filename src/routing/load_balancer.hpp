#pragma once
// Choice of the replica that takes a request.
#include <unordered_map>

#include "routing/routing_snapshot.hpp"
#include "routing/token_bucket.hpp"

namespace mosskeel {

/// What a choice rests on.
struct LoadBalancerContext {
  std::string service;
  /// Requests of one hash stay on one replica (rendezvous hashing); 0 spreads by load.
  uint64_t affinity_hash = 0;
  /// Replicas that the request has already been sent to; may be null.
  const std::vector<std::string>* tried_replicas = nullptr;
};

/// The replica to send to, and whether waiting for one makes sense.
struct ReplicaChoice {
  /// Null where no replica has free capacity now.
  const Replica* replica = nullptr;
  /// Whether the service has any replica that was not tried yet, free or not.
  bool has_candidates = false;
};

/// Balances over the replicas of a service with bounded load: each gateway uses its share of a replica's capacity, its
/// own zone first. A replica in slow start gets requests of one gateway only, within its permitted rate. Draining
/// replicas and those in evacuated zones get nothing.
///
/// Owned by the request router and used on its thread.
class LoadBalancer {
 public:
  /// Adopts new metadata. Replicas that are gone are forgotten once their last request has ended.
  void update(const RoutingSnapshot& snapshot, TimePoint now);
  /// Chooses a replica without reserving capacity: see `on_attempt_started`.
  ReplicaChoice choose(const LoadBalancerContext& context, TimePoint now);
  void on_attempt_started(const std::string& replica);
  void on_attempt_finished(const std::string& replica);
  /// Sends nothing to the replica until then.
  void back_off(const std::string& replica, TimePoint until);

 private:
  struct ReplicaState {
    /// Points into `view_`; valid while `listed`.
    const Replica* replica = nullptr;
    /// Whether the present metadata lets it take requests.
    bool listed = false;
    bool same_zone = false;
    /// Whether this gateway may send to it: always, but for a replica in slow start that another gateway warms up.
    bool assigned_here = true;
    uint32_t running = 0;
    /// The most requests that this gateway runs on it.
    uint32_t capacity = 1;
    TimePoint backed_off_until{};
    TokenBucket slow_start;
    /// The epoch at which it got its present health.
    Epoch health_since{};
    /// Number of the last attempt sent to it: the least recently used one goes first among equals.
    uint64_t last_attempt = 0;
  };
  /// The gateways that share the replicas.
  struct Gateways {
    std::string own_zone;
    std::vector<DaemonId> ids;
    std::map<std::string, uint32_t> count_by_zone;
  };
  Gateways gateways() const;
  void update_replica(ReplicaState& state, const Replica& replica, const Gateways& gateways, TimePoint now);
  static bool has_capacity(ReplicaState& state, TimePoint now);

  MetadataSnapshot view_;
  DaemonId self_id_{};
  std::unordered_map<std::string, ReplicaState> replicas_;
  /// Points into `replicas_`, whose elements stay in place while they are listed.
  std::unordered_map<std::string, std::vector<ReplicaState*>> replicas_by_service_;
  uint64_t attempts_ = 0;
};

}  // namespace mosskeel
