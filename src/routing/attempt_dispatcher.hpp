#pragma once
// Sends requests to replicas, or lets them wait for one.
#include <tuple>
#include <unordered_map>

#include "routing/active_request.hpp"
#include "routing/load_balancer.hpp"
#include "routing/route_table.hpp"

namespace mosskeel::routing {

/// Owns the routing tables, the load balancer and the queue of requests that wait for a replica; numbers the attempts.
/// Nothing is sent without majority contact: requests wait then.
///
/// Part of the request router and used on its thread.
class AttemptDispatcher {
 public:
  enum class Result {
    sent,
    queued,         ///< no replica has free capacity, or there is no majority contact
    no_route,       ///< the newest configuration has no path for the request
    route_changed,  ///< it has one, but of another kind
    no_replica,     ///< every replica of the service was tried
  };

  explicit AttemptDispatcher(const ProtocolCodec& codec) : codec_(codec) {}
  /// Adopts a snapshot. Before the first one there is no majority contact, and nothing may be dispatched.
  void update(std::shared_ptr<const RoutingSnapshot> snapshot, TimePoint now);
  bool has_majority_contact(TimePoint now) const { return snapshot_ && now < snapshot_->dispatch_until; }
  /// Only after the first snapshot.
  const RouteTable& routes() const { return *routes_; }

  /// Routes the request by the newest configuration and sends it, with the action added to `actions`, or queues it. On
  /// any other result it was neither sent nor queued, and should be rejected.
  Result dispatch(ActiveRequest& request, TimePoint now, Actions& actions);
  /// The request of an attempt under way; 0 for any other.
  RequestId request_of(AttemptNumber attempt) const;
  /// Ends the request's attempt, if there is one, and gives its capacity back.
  void end_attempt(ActiveRequest& request);
  /// The request is over: forgets its attempt and its place in the queue.
  void forget(const ActiveRequest& request);
  /// Sends nothing to the replica until then.
  void back_off(const std::string& replica, TimePoint until) { load_balancer_.back_off(replica, until); }
  /// The requests that wait for a replica: the most urgent first, then the oldest.
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
  /// Follows a configuration that is newer than the request's route.
  std::optional<Result> update_route(ActiveRequest& request);
  void send(ActiveRequest& request, const Replica& replica, TimePoint now, Actions& actions);
  void release(const UpstreamAttempt& attempt);

  const ProtocolCodec& codec_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  /// Built anew for each revision of the configuration.
  std::shared_ptr<const RouteTable> routes_;
  LoadBalancer load_balancer_;
  std::set<QueueKey> queue_;
  std::unordered_map<AttemptNumber, RequestId> request_by_attempt_;
  AttemptNumber last_attempt_ = 0;
};

}  // namespace mosskeel::routing
