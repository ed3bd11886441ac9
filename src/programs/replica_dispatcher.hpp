#pragma once
// Calls to replicas: dispatch, streaming, response checks and retries.
#include "programs/majority_contact.hpp"
#include "programs/request_queue.hpp"
#include "programs/turn_owner.hpp"

namespace mosskeel {

/// Sends a request to its assigned replica and checks the response. A request is retried only if nothing reached the
/// replica or the request is idempotent, only if nothing was streamed, and only within a budget that grows with
/// successes (kRetryBudgetPerSuccess), so that retries do not amplify an overload.
class ReplicaDispatcher {
 public:
  ReplicaDispatcher(GatewayContext& context, const MajorityContact& majority_contact, HistoryWriter& history_writer,
                    OpenRequests& requests, RequestQueue& queue, ReplicaSelector& replica_selector,
                    TurnOwner& turn_owner)
      : context_(context),
        majority_contact_(majority_contact),
        history_writer_(history_writer),
        requests_(requests),
        queue_(queue),
        replica_selector_(replica_selector),
        turn_owner_(turn_owner) {}

  /// Calls `open.replica`. Ends the request as not run if it must not be dispatched any more.
  void dispatch(OpenRequest& open, TimePoint now);
  void handle(const ReplicaCallChunk& chunk, TimePoint now);
  void handle(const ReplicaCallResponse& response, TimePoint now);
  /// Ends a running request if its deadline has passed or its replica has sent nothing for kReplicaStallTimeout.
  void check_timeouts(OpenRequest& open, TimePoint now);

 private:
  OpenRequest* find_running(const std::string& attempt);
  ReplicaCall make_call(const OpenRequest& open, const Replica& replica, TimePoint now) const;
  void abort_stream(OpenRequest& open, const std::string& reason, TimePoint now);
  bool is_complete(const OpenRequest& open, const ReplicaCallResponse& response) const;
  void handle_failure(OpenRequest& open, const ReplicaCallResponse& response, TimePoint now);
  /// Returns whether the request was queued or dispatched again.
  bool retry(OpenRequest& open, TimePoint now);
  void cancel_call(const OpenRequest& open);

  GatewayContext& context_;
  const MajorityContact& majority_contact_;
  HistoryWriter& history_writer_;
  OpenRequests& requests_;
  RequestQueue& queue_;
  ReplicaSelector& replica_selector_;
  TurnOwner& turn_owner_;
  /// Number of retries that are currently allowed.
  double retry_budget_ = kMaxRetryBudget;

  static constexpr double kMaxRetryBudget = 10;
};

}  // namespace mosskeel
