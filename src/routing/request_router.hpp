#pragma once
// The data path of a gateway: processes callers' plain HTTP requests and turns from arrival to the end of the response.
#include "routing/attempt_dispatcher.hpp"
#include "routing/request_table.hpp"
#include "routing/response_relay.hpp"
#include "runtime/shutdown_limits.hpp"

namespace mosskeel::routing {

/// State machine for all requests of a gateway. It takes events and returns actions, and uses no sockets, clocks or
/// disks itself.
///
/// A request is queued for a replica and sent, and the response is forwarded. A failed attempt is retried if that
/// cannot make the request run twice. A turn is reserved at its owner before it is sent, and its outcome is committed
/// there afterwards.
///
/// Invariants: a request that is not idempotent is sent to at most one replica, unless the previous one has reported
/// that it did not run the request; a caller that is told "not run" (a 503 with Retry-After) can rely on it; a response
/// that was started and cannot be completed ends with a reset.
///
/// All calls must be made on the routing thread.
class RequestRouter {
 public:
  explicit RequestRouter(const ProtocolCodec& codec, const ResponseLimits& limits = ResponseLimits::for_memory(0))
      : codec_(codec),
        dispatcher_(codec),
        limits_(limits),
        held_responses_(limits.total_bytes),
        relay_(actions_, held_responses_) {}
  RequestRouter(const RequestRouter&) = delete;
  RequestRouter& operator=(const RequestRouter&) = delete;

  /// Installs the current routing snapshot; must be called before each event and tick.
  void update(std::shared_ptr<const RoutingSnapshot> snapshot, TimePoint now) {
    dispatcher_.update(std::move(snapshot), now);
  }
  /// Starts the shutdown: open requests end by the end of the shutdown at the latest, and new ones may be rejected.
  void begin_shutdown(const ShutdownLimits& limits);
  /// Handles an event, then dispatches queued requests.
  Actions handle(Event event, TimePoint now);
  /// Ends requests that have timed out, then dispatches queued requests.
  Actions tick(TimePoint now);
  size_t active_requests() const { return requests_.size(); }
  /// What is held for the active requests.
  HeldBytes held_bytes() const { return requests_.held_bytes(); }

 private:
  /// An error response that this gateway generates itself.
  struct ErrorResponse {
    uint32_t status{};
    std::string reason;
    /// When the caller may retry, as an interval; 0 sends no Retry-After.
    Duration retry_after{};
  };

  void on(RequestReceived& event, TimePoint now);
  void on(const CallerDisconnected& event, TimePoint now);
  void on(ResponseHeadersReceived& event, TimePoint now);
  void on(ResponseDataReceived& event, TimePoint now);
  void on(const ResponseCompleted& event, TimePoint now);
  void on(const AttemptFailed& event, TimePoint now);
  void on(ReserveTurnReply& reply, TimePoint now);
  void on(const CommitTurnReply& reply, TimePoint now);

  /// Sends or queues the request. May reject it, which removes it and invalidates the reference.
  void dispatch(ActiveRequest& request, TimePoint now);
  void dispatch_queued(TimePoint now);
  void on_plain_response(ActiveRequest& request, TimePoint now);
  void on_turn_response(ActiveRequest& request);
  /// The replica of the request's attempt has broken the protocol: it gets no requests for a time.
  void eject_replica(const ActiveRequest& request, const std::string& reason, TimePoint now);
  /// Cuts off a turn whose response cannot be forwarded any further. The turn may have run, and is not sent again.
  void cut_off(ActiveRequest& request, const std::string& reason, TimePoint now);
  /// Releases the largest responses until all that are held are within the limit.
  void limit_held_responses(TimePoint now);
  /// Handles an attempt that ended without a response to forward: retries or rejects the request. `executed` tells
  /// whether the replica has run it.
  void on_attempt_failed(ActiveRequest& request, Outcome executed, const std::string& reason, TimePoint now);
  /// Ends the request if it has timed out.
  void check_deadlines(ActiveRequest& request, TimePoint now);
  /// Ends a request whose response was interrupted after it had been started.
  void reset(ActiveRequest& request);
  /// Rejects a request whose response was not started yet; for a turn, also reports the outcome to the owner.
  void reject(ActiveRequest& request, ErrorResponse error);
  void send_error(RequestId id, const ErrorResponse& error);
  void send_outcome(const ActiveRequest& request, uint32_t status);
  /// Removes the request and invalidates the reference.
  void finish(ActiveRequest& request);
  ActiveRequest* find_by_attempt(AttemptNumber attempt) { return requests_.find(dispatcher_.request_of(attempt)); }

  const ProtocolCodec& codec_;
  /// Set once the gateway shuts down.
  std::optional<ShutdownLimits> shutdown_;
  /// Actions of the event that is being handled.
  Actions actions_;
  RequestTable requests_;
  AttemptDispatcher dispatcher_;
  const ResponseLimits limits_;
  HeldResponses held_responses_;
  ResponseRelay relay_;
};

}  // namespace mosskeel::routing
