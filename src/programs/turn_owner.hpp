#pragma once
// Turns on the histories of programs that this gateway owns: key, budget, reservation, outcome.
#include <variant>

#include "programs/outcome_transfer.hpp"
#include "programs/turn_log.hpp"
#include "programs/turn_runners.hpp"

namespace mosskeel {

/// How an attempt at a replica ended.
struct AttemptResult {
  /// The status for the caller; 0 where the turn has not run and may be tried again under its key.
  uint32_t status = 0;
  Outcome executed = Outcome::no;
  std::string reason;
  /// Tokens that the turn is charged.
  uint64_t tokens = 0;
};

/// Admits turns by their history and writes what becomes of them. A turn's reservation is committed before its
/// dispatch and its outcome before the caller hears of success, so whoever owns the program later knows of both.
class TurnOwner {
 public:
  TurnOwner(GatewayContext& context, HistoryWriter& history_writer, OpenRequests& requests,
            ReplicaSelector& replica_selector, RequestResponder& responder, TurnRunners& turn_runners,
            OutcomeSender& outcome_sender)
      : context_(context),
        history_writer_(history_writer),
        requests_(requests),
        replica_selector_(replica_selector),
        responder_(responder),
        turn_runners_(turn_runners),
        outcome_sender_(outcome_sender) {}

  /// Whether the turn may be queued or dispatched by the present state of its open history. Otherwise it was answered,
  /// which closes the request, or it waits: for the turn before it, or for the check before its answer.
  bool admit(OpenRequest& open, TimePoint now);
  /// Appends the reservation of an admitted turn.
  void reserve(OpenRequest& open, TimePoint now);
  /// Records the end of a turn and reports it once it is committed; stateless requests are answered at once.
  void finish(OpenRequest& open, AttemptResult result, TimePoint now);
  /// Whether a request may be answered by the open history as it is in memory: the stores have confirmed since it came
  /// that this gateway owns the history. Otherwise it was rejected, which closes it, or it waits for their word.
  bool may_answer_from_memory(OpenRequest& open, TimePoint now);
  /// Answers a request that reads an open history.
  void report_history(OpenRequest& open, TimePoint now);

 private:
  struct Admitted {
    uint32_t turn_number = 0;
  };
  struct AwaitsPreviousTurn {};
  /// The outcome that the key had already.
  struct RecordedOutcome {
    const Record* record = nullptr;
  };
  using Decision = std::variant<Admitted, AwaitsPreviousTurn, RecordedOutcome, RequestRejection>;
  /// What the program's turns add up to, as one of its threads sees them.
  struct Usage {
    /// Tokens spent and reserved by all threads.
    uint64_t tokens = 0;
    /// Successful turns of the thread.
    uint32_t thread_turns = 0;
    bool thread_is_busy = false;
  };

  static bool is_answer_from_memory(const Decision& decision);
  Decision decide(const OpenRequest& open, TimePoint now);
  Decision decide_known_key(const OpenRequest& open, const KeyedTurn& turn, TimePoint now);
  Decision decide_new_turn(const OpenRequest& open, const TurnsByKey& turns, const Cell& cell, TimePoint now);
  Usage usage(const OpenRequest& open, const TurnsByKey& turns, TimePoint now);
  size_t turns_waiting_on(const HistoryName& history) const;

  GatewayContext& context_;
  HistoryWriter& history_writer_;
  OpenRequests& requests_;
  ReplicaSelector& replica_selector_;
  RequestResponder& responder_;
  TurnRunners& turn_runners_;
  OutcomeSender& outcome_sender_;
};

}  // namespace mosskeel
