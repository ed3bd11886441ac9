#pragma once
// State of a request that this gateway has accepted and not yet answered.
#include "programs/gateway_context.hpp"

namespace mosskeel {

/// The processing stage of an open request. From `reserving` to `transferring_outcome` its turn may run at a replica.
enum class RequestStage {
  /// The owner is reading the program's history from its stores.
  opening_history,
  /// Waiting for a running turn of the same thread; each thread runs one turn at a time.
  awaiting_previous_turn,
  /// Waiting for a replica with free capacity.
  queued,
  /// The reservation is being written to the history.
  reserving,
  /// A replica is processing the request.
  running,
  /// The outcome is being written to the history.
  committing_outcome,
  /// The history has a new owner, which was asked to write the outcome.
  transferring_outcome,
  /// The request was forwarded to another gateway, which owns the program.
  forwarded,
};

/// Why a request is rejected, or what is known about a request that cannot be completed.
struct RequestRejection {
  uint32_t status = 503;
  std::string reason;
  /// When a retry makes sense, as an interval; 0 if it does not.
  Duration retry_after{};
  /// Whether the request has run.
  Outcome executed = Outcome::no;
};

/// A request and its state on this gateway. Owned by OpenRequests; a reference is valid until the response is sent.
struct OpenRequest {
  ProgramRequest request{};
  /// Receiver of the response: an HTTP session of this process, or the gateway that forwarded the request.
  Address reply_to;
  Incarnation reply_to_incarnation{};
  RequestStage stage = RequestStage::opening_history;
  /// The response, as far as it is known.
  ProgramResponse response{};

  /// Sequence number among the requests that this process has accepted; determines the order of the queue.
  uint64_t arrival_number = 0;
  TimePoint arrived_at{};
  TimePoint deadline{};
  /// Time of the last message from the replica or the owner, or of the last retransmission.
  TimePoint last_activity{};
  /// Start of the wait in the queue, for the owner's acknowledgement, or for the transfer of the outcome.
  TimePoint waiting_since{};

  /// Whether this is an application request without a record, which needs neither an owner nor a history.
  bool is_stateless = false;

  /// The turn in the program's history; unused by stateless requests.
  HistoryName history{};
  PartitionId partition{};
  /// The term in which this gateway admitted the turn; a later term means that the partition has moved.
  Epoch owner_term{};
  uint32_t turn_number = 0;
  uint64_t reserved_tokens = 0;
  /// The turn's reservation, which is turned into its outcome when the turn ends.
  Record record{};
  /// Committed length of the history from which on `record` is committed.
  uint64_t commit_length = 0;

  /// The assigned replica, or empty; the request occupies capacity of the replica while this is set.
  std::string replica;
  /// The text streamed so far by the replica, or by the owner that the request was forwarded to.
  std::string streamed_text;
  uint32_t streamed_chunks = 0;
  uint64_t streamed_tokens = 0;

  /// The owner that the request was forwarded to.
  DaemonId forwarded_to{};
  /// Whether the request was sent to that owner, which has not responded.
  bool is_forwarded = false;
  bool forward_acknowledged = false;
  /// Whether the request was sent to an owner that never responded, so that "has not run" must no longer be reported.
  bool outcome_unknown = false;
  /// Whether the turn was never dispatched and is to be forwarded to the new owner once that has recorded this.
  bool reroute_after_transfer = false;

  /// Whether the caller's HTTP session is in this process.
  bool is_from_local_caller() const { return reply_to.starts_with(kLocalAddressPrefix); }
};

}  // namespace mosskeel
