#pragma once
// Owner side of turns: checks budget and chain, writes a durable reservation before the turn and its outcome after.
#include "history/history_writer.hpp"
#include "routing/chain_search.hpp"
#include "routing/turn_index.hpp"

namespace mosskeel {

/// The history that contains a program's turns, on whatever path they arrived.
HistoryName turn_history_name(const std::string& program);

/// Grants turns of programs whose partition this gateway owns, and records their outcomes.
///
/// Invariants: a turn is granted only once its reservation is on a majority of the history's stores, never after it has
/// an outcome, and only to the gateway that the reservation names; an outcome is acknowledged only once it is on a
/// majority. Nothing is stored on this gateway's disk: a new owner restores the state from the history.
///
/// Part of the gateway's state machine; used only on its thread.
class TurnCoordinator {
 public:
  TurnCoordinator(Outbox& outbox, MetadataLog& metadata_log, HistoryWriter& history_writer)
      : outbox_(outbox), metadata_log_(metadata_log), history_writer_(history_writer) {}
  /// Handles `ReserveTurn`, `CommitTurn` and `FindChainReply`; returns false for all other messages.
  bool handle(const Envelope& envelope, TimePoint now);
  /// Advances the requests that wait for one of these histories.
  void advance(const std::set<HistoryName>& changed, TimePoint now);
  /// Advances all requests, and drops the indexes of histories that were handed over.
  void tick(TimePoint now);

 private:
  /// A gateway's request that was not answered yet.
  template <class Body>
  struct Pending {
    Body body;
    Address from;
    Incarnation incarnation;
    HistoryName history{};
    TimePoint received_at{};
    /// Committed length of the history that is required to answer the request; 0 before its record was appended.
    uint64_t required_length = 0;
    /// Used only by reservations whose parent turn is not in this history.
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
  /// Opens the history. Returns nullopt once it is open and has not ended, else the progress of the request.
  std::optional<Progress> open_history(PendingReservation& pending, TimePoint now);
  /// Appends the reservation. Returns nullopt once it is appended, else the progress of the request.
  std::optional<Progress> append_reservation(PendingReservation& pending, const TurnIndex& index, TimePoint now);
  /// Checks the parent turn. Returns nullopt if the turn may continue from it, else the progress of the request.
  std::optional<Progress> check_parent(PendingReservation& pending, const TurnIndex& index, TimePoint now);
  Progress search_chain(PendingReservation& pending, TimePoint now);
  /// Rejects a request based on the history in memory, once the stores have confirmed that this gateway owns it.
  Progress reject_from_memory(const PendingReservation& pending, uint32_t status, std::string reason, TimePoint now);
  Progress reject(const PendingReservation& pending, uint32_t status, std::string reason, Duration retry_after = {});
  void import_chain(const PendingReservation& pending, const FindChainReply& reply, TimePoint now);

  Progress advance(PendingCommit& pending, TimePoint now);
  Progress acknowledge(const PendingCommit& pending, bool committed);
  /// Replies that the outcome is not committed and never will be, once the stores have confirmed that this gateway owns
  /// the history.
  Progress acknowledge_failure(const PendingCommit& pending, TimePoint now);

  /// Advances the requests for which `selected` returns true, and removes those that were answered.
  template <class Requests, class Predicate>
  void advance_if(Requests& requests, TimePoint now, const Predicate& selected);

  bool is_owner(const HistoryName& history) const;
  /// Whether the reservation was made for the gateway of this incarnation: two gateways may send the same attempt id.
  bool is_granted_to(const HistoryName& history, size_t reservation, Incarnation gateway) const;
  TurnIndex& index(const HistoryName& history);

  Outbox& outbox_;
  MetadataLog& metadata_log_;
  HistoryWriter& history_writer_;
  /// Keyed by the attempt id of the turn.
  std::map<std::string, PendingReservation> reservations_;
  std::map<std::string, PendingCommit> commits_;
  std::map<HistoryName, TurnIndex> indexes_;
};

}  // namespace mosskeel
