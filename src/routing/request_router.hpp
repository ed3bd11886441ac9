#pragma once
// The data path of a gateway: callers' plain HTTP requests and turns, from arrival to the end of the response.
#include "routing/attempt_dispatcher.hpp"
#include "routing/request_table.hpp"
#include "routing/response_relay.hpp"
#include "runtime/shutdown_limits.hpp"

namespace mosskeel::routing {

/// State machine of all requests of a gateway, without socket, clock or disk: events go in, actions come out.
///
/// A request waits for a replica, is sent, and its response is passed on; a failed attempt is followed by another where
/// that can't make a request run twice. A turn is reserved at its owner before, and committed there after.
///
/// Invariants: what is not idempotent is at one replica at most, unless the one before has reported that it did not run
/// it; a caller that is told "not run" (a 503 with a time for the retry) can rely on it; a response that was begun and
/// is not complete ends in a reset.
///
/// All calls on the routing thread.
class RequestRouter {
 public:
  explicit RequestRouter(const ProtocolCodec& codec) : codec_(codec), dispatcher_(codec), relay_(actions_) {}
  RequestRouter(const RequestRouter&) = delete;
  RequestRouter& operator=(const RequestRouter&) = delete;

  /// Adopts the present control state; to be called before each event and tick.
  void update(std::shared_ptr<const RoutingSnapshot> snapshot, TimePoint now) {
    dispatcher_.update(std::move(snapshot), now);
  }
  /// The gateway stops: its requests end with their deadlines or with the stop, and late ones may be rejected.
  void begin_shutdown(const ShutdownLimits& limits);
  /// Takes an event and serves the queue.
  Actions handle(Event event, TimePoint now);
  /// Ends requests whose time is over and serves the queue.
  Actions tick(TimePoint now);
  size_t active_requests() const { return requests_.size(); }

 private:
  /// An error response of this gateway's own.
  struct ErrorResponse {
    uint32_t status{};
    std::string reason;
    /// The time after which the caller may retry; 0 for none.
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

  /// Sends the request or queues it; it may be rejected and gone afterwards.
  void dispatch(ActiveRequest& request, TimePoint now);
  void dispatch_queued(TimePoint now);
  void on_plain_response(ActiveRequest& request, TimePoint now);
  void on_turn_response(ActiveRequest& request);
  /// The attempt ended without a response to pass on; `ran` is what is known of it. Retries or rejects.
  void on_attempt_failed(ActiveRequest& request, Outcome ran, const std::string& reason, TimePoint now);
  /// Ends a request whose time is over.
  void check_deadlines(ActiveRequest& request, TimePoint now);
  /// The request's attempt, whose response began, is broken off.
  void reset(ActiveRequest& request);
  /// Rejects a request of which nothing was passed on yet, and tells a turn's owner.
  void reject(ActiveRequest& request, ErrorResponse error);
  void send_error(RequestId id, const ErrorResponse& error);
  void send_outcome(const ActiveRequest& request, uint32_t status);
  /// Removes the request, which must not be used any more.
  void finish(ActiveRequest& request);
  ActiveRequest* find_by_attempt(AttemptNumber attempt) { return requests_.find(dispatcher_.request_of(attempt)); }

  const ProtocolCodec& codec_;
  /// Set once the gateway stops.
  std::optional<ShutdownLimits> shutdown_;
  /// Of the event under way.
  Actions actions_;
  RequestTable requests_;
  AttemptDispatcher dispatcher_;
  ResponseRelay relay_;
};

}  // namespace mosskeel::routing
