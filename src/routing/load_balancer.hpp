#pragma once
// Selection of the replica that a request is sent to.
#include <unordered_map>

#include "routing/routing_snapshot.hpp"
#include "routing/token_bucket.hpp"

namespace mosskeel {

/// The properties of a request that the choice depends on.
struct LoadBalancerContext {
  std::string service;
  /// Requests with equal hashes are sent to the same replica (rendezvous hashing); 0 balances by load.
  uint64_t affinity_hash = 0;
  /// Replicas that the request was already sent to; may be null.
  const std::vector<std::string>* tried_replicas = nullptr;
};

/// The replica to send to, and whether it makes sense to wait if there is none.
struct ReplicaChoice {
  /// Null if no replica has free capacity now.
  const Replica* replica = nullptr;
  /// Whether the service has any replica that was not tried yet, with or without free capacity.
  bool has_candidates = false;
};

/// Balances requests over the replicas of a service with bounded load: each gateway uses at most its share of a
/// replica's capacity and prefers its own zone. A replica in slow start gets requests from one gateway only, within the
/// permitted rate. Draining replicas and replicas in evacuated zones get no requests.
///
/// Owned by the request router; used only on its thread.
class LoadBalancer {
 public:
  /// Installs new metadata. Removed replicas are dropped once their last request has ended.
  void update(const RoutingSnapshot& snapshot, TimePoint now);
  /// Chooses a replica without reserving capacity: see `on_attempt_started`.
  ReplicaChoice choose(const LoadBalancerContext& context, TimePoint now);
  void on_attempt_started(const std::string& replica);
  void on_attempt_finished(const std::string& replica);
  /// Sends nothing to the replica until the given time.
  void back_off(const std::string& replica, TimePoint until);
  /// The replica has broken the protocol: sends nothing to it for `kEjectionTime`, and for longer if it does so again
  /// and again. Does nothing while it is ejected already, as many requests may end with the same fault. Where more than
  /// half of a service's replicas are ejected, none is for longer than `kEjectionTime`.
  /// @return the time of the ejection; 0 if it was ejected already.
  Duration eject(const std::string& replica, TimePoint now);
  /// The replica has responded in order.
  void on_response_completed(const std::string& replica);

 private:
  struct ReplicaState {
    /// Points into `view_`; valid only while `eligible`.
    const Replica* replica = nullptr;
    /// Whether the replica may get requests according to the current metadata.
    bool eligible = false;
    bool same_zone = false;
    /// Whether this gateway may send to the replica. False only while it is in slow start at another gateway.
    bool assigned_here = true;
    uint32_t running = 0;
    /// Maximum number of concurrent requests from this gateway.
    uint32_t capacity = 1;
    TimePoint backed_off_until{};
    TimePoint ejected_until{};
    /// Ejections, less the responses in order since.
    uint32_t ejections = 0;
    TokenBucket slow_start;
    /// The epoch at which the replica's current health was recorded.
    Epoch health_since{};
    /// Number of the last attempt sent to the replica; prefers the least recently used one among equals.
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
  /// Whether more than half of the replicas of this one's service are ejected.
  bool are_most_ejected(const ReplicaState& state, TimePoint now) const;
  static bool has_capacity(ReplicaState& state, TimePoint now);

  MetadataSnapshot view_;
  DaemonId self_id_{};
  std::unordered_map<std::string, ReplicaState> replicas_;
  /// Points into `replicas_`, whose elements are not erased while they are eligible.
  std::unordered_map<std::string, std::vector<ReplicaState*>> replicas_by_service_;
  uint64_t attempts_ = 0;
};

}  // namespace mosskeel
