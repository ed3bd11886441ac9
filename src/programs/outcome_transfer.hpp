#pragma once
// What becomes of a turn whose partition moves to another gateway while it runs.
#include "history/history_writer.hpp"
#include "programs/request_responder.hpp"

namespace mosskeel {

/// The old owner's side: sends the outcome to the present owner until that has recorded it or refused.
class OutcomeSender {
 public:
  OutcomeSender(GatewayContext& context, OpenRequests& requests, RequestResponder& responder)
      : context_(context), requests_(requests), responder_(responder) {}

  /// Sends the outcome in `open.record`, for the first time or again.
  void send(OpenRequest& open, TimePoint now);
  /// The new owner's answer. Returns the request where its turn never ran and is now to be routed to that owner; else
  /// the request was answered, or the reply is stale.
  OpenRequest* handle(const TransferTurnOutcomeReply& reply, TimePoint now);

 private:
  GatewayContext& context_;
  OpenRequests& requests_;
  RequestResponder& responder_;
};

/// The new owner's side: appends outcomes that old owners send to its histories, under its own term. An outcome is
/// taken if the history still holds the turn's open reservation and nothing came after it on its thread.
class OutcomeReceiver {
 public:
  OutcomeReceiver(GatewayContext& context, HistoryWriter& history_writer)
      : context_(context), history_writer_(history_writer) {}

  void handle(const Envelope& envelope, const TransferTurnOutcome& transfer, TimePoint now);
  /// Goes on with the outcomes that wait for their history or for a write quorum.
  void advance(TimePoint now);
  size_t pending() const { return transfers_.size(); }

 private:
  struct Transfer {
    TransferTurnOutcome message{};
    Address reply_to;
    Incarnation reply_to_incarnation{};
    TimePoint arrived_at{};
    /// The history's length at which the outcome is committed, and the term under which it was appended; 0 before.
    uint64_t commit_length = 0;
    Epoch term{};
  };
  enum class Progress { must_append, must_wait, recorded, refused };
  /// Whether the transfer is over: answered, or given up.
  bool try_complete(Transfer& transfer, TimePoint now);
  /// The state of the transfer by the open history.
  Progress evaluate(const Transfer& transfer) const;
  static Progress recorded_if(bool condition);

  GatewayContext& context_;
  HistoryWriter& history_writer_;
  std::vector<Transfer> transfers_;
};

}  // namespace mosskeel
