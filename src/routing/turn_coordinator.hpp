#pragma once
// The owner's side of callers' turns: budget, chain, a durable reservation before, a durable outcome after.
#include "history/history_writer.hpp"
#include "routing/chain_search.hpp"
#include "routing/turn_index.hpp"

namespace mosskeel {

/// The history that holds a program's turns, whatever path they came by.
HistoryName turn_history_name(const std::string& program);

/// Grants turns of the programs whose partition this gateway owns, and records their outcomes.
///
/// Invariants: a turn is granted only once its reservation is on a majority of the history's stores, at most once by
/// outcome, and only to the gateway that the reservation names; an outcome is acknowledged only once it is on a
/// majority. Nothing is kept on this gateway's disk: after a change of owner the history tells the state.
///
/// Part of the gateway's state machine and used on its thread.
class TurnCoordinator {
 public:
  TurnCoordinator(Outbox& outbox, MetadataLog& metadata_log, HistoryWriter& history_writer)
      : outbox_(outbox), metadata_log_(metadata_log), history_writer_(history_writer) {}
  /// Handles `ReserveTurn`, `CommitTurn` and `FindChainReply`; false where the message is another's.
  bool handle(const Envelope& envelope, TimePoint now);
  /// Goes on with the requests that wait for one of these histories.
  void advance(const std::set<HistoryName>& changed, TimePoint now);
  /// Goes on with all requests, and drops the indexes of histories that were handed over.
  void tick(TimePoint now);

 private:
  /// A gateway's request, until it is answered.
  template <class Body>
  struct Pending {
    Body body;
    Address from;
    Incarnation incarnation;
    HistoryName history{};
    TimePoint received_at{};
    /// How long the history must be committed before the request is answered; 0 before its record was appended.
    uint64_t required_length = 0;
    /// Only for reservations: where the previous turn is not in this history.
    ChainSearch chain_search;
  };
  using PendingReservation = Pending<ReserveTurn>;
  using PendingCommit = Pending<CommitTurn>;
  enum class Progress { waiting, answered };

  template <class Body>
  static Pending<Body> pending(const Body& body, const Envelope& envelope, TimePoint now) {
    return {body, envelope.from, envelope.from_incarnation, turn_history_name(body.program), now, 0, {}};
  }
  void handle(const ReserveTurn& request, const Envelope& envelope, TimePoint now);
  void handle(const CommitTurn& request, const Envelope& envelope, TimePoint now);
  void handle(const FindChainReply& reply, const Envelope& envelope, TimePoint now);

  Progress advance(PendingReservation& pending, TimePoint now);
  /// Opens the history; nothing once it is open and has not ended, else what became of the request.
  std::optional<Progress> open_history(PendingReservation& pending, TimePoint now);
  /// Appends the reservation; nothing once it is appended, else what became of the request.
  std::optional<Progress> append_reservation(PendingReservation& pending, const TurnIndex& index, TimePoint now);
  /// Looks at the turn before this one; nothing where the turn may go on from it.
  std::optional<Progress> check_parent(PendingReservation& pending, const TurnIndex& index, TimePoint now);
  Progress search_chain(PendingReservation& pending, TimePoint now);
  /// Rejects by what the history in memory says, once the stores have confirmed that this gateway owns it.
  Progress reject_from_memory(const PendingReservation& pending, uint32_t status, std::string reason, TimePoint now);
  Progress reject(const PendingReservation& pending, uint32_t status, std::string reason, Duration retry_after = {});
  void import_chain(const PendingReservation& pending, const FindChainReply& reply, TimePoint now);

  Progress advance(PendingCommit& pending, TimePoint now);
  Progress acknowledge(const PendingCommit& pending, bool committed);
  /// Tells that the outcome is not committed and won't be, once the stores have confirmed that this gateway owns the
  /// history.
  Progress acknowledge_failure(const PendingCommit& pending, TimePoint now);

  /// Advances the requests that `selected` holds for, and forgets those that were answered.
  template <class Requests, class Predicate>
  void advance_if(Requests& requests, TimePoint now, const Predicate& selected);

  bool is_owner(const HistoryName& history) const;
  /// Whether a reservation was made for the gateway of this incarnation: an attempt's id does not tell two apart.
  bool is_granted_to(const HistoryName& history, size_t reservation, Incarnation gateway) const;
  TurnIndex& index(const HistoryName& history);

  Outbox& outbox_;
  MetadataLog& metadata_log_;
  HistoryWriter& history_writer_;
  /// By the attempt id of the turn.
  std::map<std::string, PendingReservation> reservations_;
  std::map<std::string, PendingCommit> commits_;
  std::map<HistoryName, TurnIndex> indexes_;
};

}  // namespace mosskeel
