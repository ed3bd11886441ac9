#pragma once
// Sends requests to replicas, or queues them until one has free capacity.
#include <tuple>
#include <unordered_map>

#include "routing/active_request.hpp"
#include "routing/load_balancer.hpp"
#include "routing/route_table.hpp"

namespace mosskeel::routing {

/// Owns the routing table, the load balancer and the queue of requests that wait for a replica; assigns attempt
/// numbers. Without majority contact nothing is sent, and requests stay queued.
///
/// Part of the request router; used only on its thread.
class AttemptDispatcher {
 public:
  enum class Result {
    sent,
    queued,         ///< no replica has free capacity, or there is no majority contact
    no_route,       ///< the newest configuration has no path for the request
    route_changed,  ///< the newest configuration has a path for it, but of another kind
    no_replica,     ///< every replica of the service was already tried
  };

  explicit AttemptDispatcher(const ProtocolCodec& codec) : codec_(codec) {}
  /// Installs a new snapshot. Before the first one there is no majority contact, and `dispatch` must not be called.
  void update(std::shared_ptr<const RoutingSnapshot> snapshot, TimePoint now);
  bool has_majority_contact(TimePoint now) const { return snapshot_ && now < snapshot_->dispatch_until; }
  /// Must not be called before the first snapshot.
  const RouteTable& routes() const { return *routes_; }

  /// Routes the request by the newest configuration, and either sends it (adding the action to `actions`) or queues it.
  /// On any other result it was neither sent nor queued, and the caller should reject it.
  Result dispatch(ActiveRequest& request, TimePoint now, Actions& actions);
  /// The request that an active attempt belongs to; 0 for an unknown attempt.
  RequestId request_of(AttemptNumber attempt) const;
  /// Ends the request's attempt, if there is one, and releases its capacity.
  void end_attempt(ActiveRequest& request);
  /// Removes the attempt and the queue entry of a request that has ended.
  void forget(const ActiveRequest& request);
  /// Sends nothing to the replica until the given time.
  void back_off(const std::string& replica, TimePoint until) { load_balancer_.back_off(replica, until); }
  /// See LoadBalancer.
  Duration eject(const std::string& replica, TimePoint now) { return load_balancer_.eject(replica, now); }
  void on_response_completed(const std::string& replica) { load_balancer_.on_response_completed(replica); }
  /// The queued requests, the most urgent first, then the oldest.
  std::vector<RequestId> queued() const;

 private:
  struct QueueKey {
    /// 0 is the most urgent.
    uint32_t rank{};
    TimePoint received_at{};
    RequestId id;
    bool operator<(const QueueKey& other) const {
      return std::tie(rank, received_at, id) < std::tie(other.rank, other.received_at, other.id);
    }
  };
  static QueueKey queue_key(const ActiveRequest& request);
  /// Routes the request again if the configuration has changed since it was routed. Returns the reason if that fails.
  std::optional<Result> update_route(ActiveRequest& request);
  void send(ActiveRequest& request, const Replica& replica, TimePoint now, Actions& actions);
  void release(const UpstreamAttempt& attempt);

  const ProtocolCodec& codec_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  /// Rebuilt for each revision of the configuration.
  std::shared_ptr<const RouteTable> routes_;
  LoadBalancer load_balancer_;
  std::set<QueueKey> queue_;
  std::unordered_map<AttemptNumber, RequestId> request_by_attempt_;
  AttemptNumber last_attempt_ = 0;
};

}  // namespace mosskeel::routing
