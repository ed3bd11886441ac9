#pragma once
// Turns of programs that this gateway owns: checks key and budget, and writes reservation and outcome to the history.
#include <variant>

#include "programs/outcome_transfer.hpp"
#include "programs/turn_log.hpp"
#include "programs/turn_runners.hpp"

namespace mosskeel {

/// How an attempt at a replica ended.
struct AttemptResult {
  /// The status for the caller; 0 if the turn has not run and may be retried under its key.
  uint32_t status = 0;
  Outcome executed = Outcome::no;
  std::string reason;
  /// Number of tokens that the turn is charged.
  uint64_t tokens = 0;
};

/// Admits turns according to the history and records their outcomes. A turn's reservation is committed before its
/// dispatch, and its outcome before success is reported to the caller, so that every later owner knows both.
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

  /// Returns whether the turn may be queued or dispatched according to its open history. Otherwise it was answered,
  /// which closes the request, or it waits for the previous turn or for the ownership check that precedes its response.
  bool admit(OpenRequest& open, TimePoint now);
  /// Appends the reservation of an admitted turn.
  void reserve(OpenRequest& open, TimePoint now);
  /// Records the outcome of a turn, which is reported once it is committed; answers stateless requests immediately.
  void finish(OpenRequest& open, AttemptResult result, TimePoint now);
  /// Returns whether a request may be answered from the open history in memory, because the stores have confirmed since
  /// its arrival that this gateway owns the history. Otherwise it was rejected, which closes it, or it waits for the
  /// stores' confirmation.
  bool may_answer_from_memory(OpenRequest& open, TimePoint now);
  /// Answers a request that reads an open history.
  void report_history(OpenRequest& open, TimePoint now);

 private:
  struct Admitted {
    uint32_t turn_number = 0;
  };
  struct AwaitsPreviousTurn {};
  /// The key already has this outcome.
  struct RecordedOutcome {
    const Record* record = nullptr;
  };
  using Decision = std::variant<Admitted, AwaitsPreviousTurn, RecordedOutcome, RequestRejection>;
  /// Totals over the program's turns, as relevant for one of its threads.
  struct Usage {
    /// Tokens spent or reserved by all threads.
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
