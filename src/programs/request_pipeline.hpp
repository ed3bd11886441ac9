#pragma once
// The way of a request through a gateway, from its arrival to its response.
#include "programs/history_closer.hpp"
#include "programs/replica_dispatcher.hpp"
#include "programs/request_forwarder.hpp"
#include "programs/request_intake.hpp"

namespace mosskeel {

/// Takes requests and moves each through its stages (RequestStage): a turn goes over its program's history, the queue,
/// its reservation, a replica and its outcome; a request to a program of another gateway is forwarded; a stateless one
/// is queued at once. What a stage does is left to the parts; this class decides what comes next.
class RequestPipeline {
 public:
  RequestPipeline(GatewayContext& context, const MajorityContact& majority_contact, HistoryWriter& history_writer,
                  const TurnClient& turn_client);

  /// Requests, and messages that concern open requests and turns; false leaves the message to others.
  bool handle(const Envelope& envelope, TimePoint now);
  /// Goes on with everything that waits for this history.
  void on_history_changed(const HistoryName& history, TimePoint now);
  /// Goes on with all requests, and forgets what is too old to matter.
  void sweep(TimePoint now);
  /// The gateway has begun to shut down: no open request lasts longer than that leaves time for.
  void limit_deadlines();
  /// Hands queued requests to replicas with free capacity.
  void dispatch_queued(TimePoint now);

  size_t open_requests() const { return requests_.size(); }
  /// Whether nothing is under way for a caller or another gateway.
  bool is_idle() const { return requests_.empty() && outcome_receiver_.pending() == 0; }

 private:
  /// Starts a request that was admitted.
  void begin(OpenRequest& open, TimePoint now);
  /// Sets the request's deadline; false where it was rejected, for it may outlast the gateway's shutdown.
  bool set_deadline(OpenRequest& open, TimePoint now);
  /// Rejects a request whose deadline came before it could begin.
  void reject_expired(OpenRequest& open, TimePoint now);

  /// Serves the request here if this gateway owns its program, else forwards it to the owner or back.
  void route(OpenRequest& open, TimePoint now);
  /// Goes on with a request if what it waits for has come, or its time is over. May close it.
  void advance(OpenRequest& open, TimePoint now);
  void advance(const std::vector<std::string>& attempts, TimePoint now);
  void advance_opening(OpenRequest& open, TimePoint now);
  void advance_awaiting_previous_turn(OpenRequest& open, TimePoint now);
  void advance_queued(OpenRequest& open, TimePoint now);
  void advance_reserving(OpenRequest& open, TimePoint now);
  void advance_committing_outcome(OpenRequest& open, TimePoint now);
  void advance_transferring_outcome(OpenRequest& open, TimePoint now);
  void advance_forwarded(OpenRequest& open, TimePoint now);
  /// The history is open and not ended, or the request was answered.
  void start_on_open_history(OpenRequest& open, TimePoint now);
  /// Whether the request could be served, rejected or moved on; false if it must wait in the queue.
  bool try_dispatch(OpenRequest& open, const Daemon& self, TimePoint now);
  /// Checks again what may have changed while a turn waited in the queue.
  bool may_still_reserve(OpenRequest& open, TimePoint now);

  bool is_owned(const OpenRequest& open) const { return !open.is_stateless && context_.owns(open.partition); }
  /// Whether this gateway still owns the program under the term at which the turn was admitted.
  bool holds_admitted_term(const OpenRequest& open) const;
  bool is_committed(const OpenRequest& open) const;

  GatewayContext& context_;
  const MajorityContact& majority_contact_;
  HistoryWriter& history_writer_;
  OpenRequests requests_;
  RecentResponses recent_responses_;
  ReplicaSelector replica_selector_;
  RequestQueue queue_;
  RequestResponder responder_;
  RequestIntake request_intake_;
  TurnRunners turn_runners_;
  OutcomeSender outcome_sender_;
  OutcomeReceiver outcome_receiver_;
  TurnOwner turn_owner_;
  ReplicaDispatcher replica_dispatcher_;
  RequestForwarder request_forwarder_;
  HistoryCloser history_closer_;
};

}  // namespace mosskeel
