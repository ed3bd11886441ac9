#pragma once
// Processing of a request on a gateway, from its arrival to its response.
#include "programs/history_closer.hpp"
#include "programs/replica_dispatcher.hpp"
#include "programs/request_forwarder.hpp"
#include "programs/request_intake.hpp"

namespace mosskeel {

/// Accepts requests and advances each through its stages (RequestStage): for a turn these are opening the history,
/// queueing, reserving, running at a replica, and committing the outcome. A request to a program of another gateway is
/// forwarded, and a stateless request is queued immediately. The components implement the stages; this class decides
/// which stage is next.
class RequestPipeline {
 public:
  RequestPipeline(GatewayContext& context, const MajorityContact& majority_contact, HistoryWriter& history_writer,
                  const TurnClient& turn_client);

  /// Handles requests, and messages about open requests and turns; returns false for all other messages.
  bool handle(const Envelope& envelope, TimePoint now);
  /// Advances everything that waits for this history.
  void on_history_changed(const HistoryName& history, TimePoint now);
  /// Advances all requests and drops expired state.
  void sweep(TimePoint now);
  /// Limits the deadlines of all open requests to the end of the gateway's shutdown, which has started.
  void limit_deadlines();
  /// Dispatches queued requests to replicas with free capacity.
  void dispatch_queued(TimePoint now);

  size_t open_requests() const { return requests_.size(); }
  /// Whether there is no open request and no pending outcome of another gateway.
  bool is_idle() const { return requests_.empty() && outcome_receiver_.pending() == 0; }

 private:
  /// Starts a request that was admitted.
  void begin(OpenRequest& open, TimePoint now);
  /// Sets the request's deadline. Returns false if the request was rejected because it may outlast the shutdown.
  bool set_deadline(OpenRequest& open, TimePoint now);
  /// Rejects a request whose deadline passed before it could start.
  void reject_expired(OpenRequest& open, TimePoint now);

  /// Processes the request here if this gateway owns its program; else forwards a local caller's request to the owner,
  /// and returns another gateway's request to its sender.
  void route(OpenRequest& open, TimePoint now);
  /// Advances a request if what it waits for has happened or it has timed out. May close it.
  void advance(OpenRequest& open, TimePoint now);
  void advance(const std::vector<std::string>& attempts, TimePoint now);
  void advance_opening(OpenRequest& open, TimePoint now);
  void advance_awaiting_previous_turn(OpenRequest& open, TimePoint now);
  void advance_queued(OpenRequest& open, TimePoint now);
  void advance_reserving(OpenRequest& open, TimePoint now);
  void advance_committing_outcome(OpenRequest& open, TimePoint now);
  void advance_transferring_outcome(OpenRequest& open, TimePoint now);
  void advance_forwarded(OpenRequest& open, TimePoint now);
  /// Starts a request whose history is open. Answers it if the history has ended, or if it reads the history.
  void start_on_open_history(OpenRequest& open, TimePoint now);
  /// Returns whether the request has left the queue: dispatched, rejected or rerouted. False if it must stay queued.
  bool try_dispatch(OpenRequest& open, const Daemon& self, TimePoint now);
  /// Repeats the checks whose result may have changed while the turn was queued. Returns whether it may be reserved.
  bool may_still_reserve(OpenRequest& open, TimePoint now);

  bool is_owned(const OpenRequest& open) const { return !open.is_stateless && context_.owns(open.partition); }
  /// Whether this gateway still owns the program in the term in which it admitted the turn.
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
