#pragma once
// One request that this gateway has taken and not yet answered.
#include "programs/gateway_context.hpp"

namespace mosskeel {

/// Where an open request stands. Between `reserving` and `transferring_outcome` its turn may be running at a replica.
enum class RequestStage {
  /// The owner reads the program's history from its stores.
  opening_history,
  /// A turn of the same thread runs; threads run one turn at a time.
  awaiting_previous_turn,
  /// Waits for a replica with free capacity.
  queued,
  /// The reservation is being written to the history.
  reserving,
  /// A replica works on it.
  running,
  /// The outcome is being written to the history.
  committing_outcome,
  /// The history has a new owner, which is asked to write the outcome.
  transferring_outcome,
  /// Another gateway owns the program and was sent the request.
  forwarded,
};

/// Why a request is turned down, or what is known of one that can't be completed.
struct RequestRejection {
  uint32_t status = 503;
  std::string reason;
  /// The time after which a retry makes sense; 0 where it makes none.
  Duration retry_after{};
  /// Whether the request has run.
  Outcome executed = Outcome::no;
};

/// A request and all that is known of it here. Owned by OpenRequests; a reference is valid until the response is sent.
struct OpenRequest {
  ProgramRequest request{};
  /// Who gets the response: an HTTP session of this process, or the gateway that forwarded the request.
  Address reply_to;
  Incarnation reply_to_incarnation{};
  RequestStage stage = RequestStage::opening_history;
  /// The response as far as it is known.
  ProgramResponse response{};

  /// Counts the requests taken by this process: the queue's order.
  uint64_t arrival_number = 0;
  TimePoint arrived_at{};
  TimePoint deadline{};
  /// When the replica, the owner or a retransmission last moved it on.
  TimePoint last_activity{};
  /// Since when it waits in the queue, for the owner's acknowledgement or for the outcome's transfer.
  TimePoint waiting_since{};

  /// An application request that leaves no record: it needs no owner and no history.
  bool is_stateless = false;

  /// The turn on the program's history; unused by stateless requests.
  HistoryName history{};
  PartitionId partition{};
  /// The term under which this gateway admitted the turn; a later one means that the partition has moved.
  Epoch owner_term{};
  uint32_t turn_number = 0;
  uint64_t reserved_tokens = 0;
  /// The turn's reservation, from its outcome on the outcome.
  Record record{};
  /// The history's length at which `record` is committed.
  uint64_t commit_length = 0;

  /// The replica that was chosen, empty where none is; its capacity is held as long as it stands here.
  std::string replica;
  /// What the replica, or the owner that the request was forwarded to, has streamed so far.
  std::string streamed_text;
  uint32_t streamed_chunks = 0;
  uint64_t streamed_tokens = 0;

  /// The owner that the request was forwarded to.
  DaemonId forwarded_to{};
  /// It was sent to that owner, whose verdict has not come.
  bool is_forwarded = false;
  bool forward_acknowledged = false;
  /// It was sent to an owner whose verdict never came, so "has not run" may no longer be reported.
  bool outcome_unknown = false;
  /// The turn was never dispatched: once the new owner has recorded that, it is forwarded there.
  bool reroute_after_transfer = false;

  /// Whether the caller's HTTP session is in this process.
  bool is_from_local_caller() const { return reply_to.starts_with(kLocalAddressPrefix); }
};

}  // namespace mosskeel
