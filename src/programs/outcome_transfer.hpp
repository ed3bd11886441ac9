#pragma once
// Transfer of a turn's outcome to the new owner when the partition moves to another gateway while the turn runs.
#include "history/history_writer.hpp"
#include "programs/request_responder.hpp"

namespace mosskeel {

/// The old owner's side: sends the outcome to the current owner until that has recorded or refused it.
class OutcomeSender {
 public:
  OutcomeSender(GatewayContext& context, OpenRequests& requests, RequestResponder& responder)
      : context_(context), requests_(requests), responder_(responder) {}

  /// Sends or resends the outcome in `open.record`.
  void send(OpenRequest& open, TimePoint now);
  /// Handles the new owner's reply. Returns the request if its turn never ran and is now to be routed to that owner;
  /// null if the request was answered, or if the reply is stale.
  OpenRequest* handle(const TransferTurnOutcomeReply& reply, TimePoint now);

 private:
  GatewayContext& context_;
  OpenRequests& requests_;
  RequestResponder& responder_;
};

/// The new owner's side: appends outcomes that it receives from old owners to its histories, in its own term. An
/// outcome is accepted if the history still has the turn's open reservation and no later records of its thread.
class OutcomeReceiver {
 public:
  OutcomeReceiver(GatewayContext& context, HistoryWriter& history_writer)
      : context_(context), history_writer_(history_writer) {}

  void handle(const Envelope& envelope, const TransferTurnOutcome& transfer, TimePoint now);
  /// Advances the outcomes that wait for their history or for a write quorum.
  void advance(TimePoint now);
  size_t pending() const { return transfers_.size(); }

 private:
  struct Transfer {
    TransferTurnOutcome message{};
    Address reply_to;
    Incarnation reply_to_incarnation{};
    TimePoint arrived_at{};
    /// The history's length at which the outcome is committed, and the term in which it was appended; 0 before that.
    uint64_t commit_length = 0;
    Epoch term{};
  };
  enum class Progress { must_append, must_wait, recorded, refused };
  /// Returns whether the transfer has ended: it was answered or given up.
  bool try_complete(Transfer& transfer, TimePoint now);
  /// The progress of the transfer according to the open history.
  Progress evaluate(const Transfer& transfer) const;
  static Progress recorded_if(bool condition);

  GatewayContext& context_;
  HistoryWriter& history_writer_;
  std::vector<Transfer> transfers_;
};

}  // namespace mosskeel
