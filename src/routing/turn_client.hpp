#pragma once
// Client side of turns: sends a gateway's reservations and outcomes to the owners of its callers' programs.
#include "routing/turn_coordinator.hpp"

namespace mosskeel {

/// The address at which the gateway's state machine reaches the request router of its own process.
inline const Address kRoutingAddress = "local:routing";

/// Forwards the router's reservations and outcomes to the owner of the program, resends them until they are answered,
/// and switches to the new owner when the partition moves. Replies are sent to `kRoutingAddress`.
///
/// Part of the gateway's state machine; used only on its thread. Stores nothing on disk.
class TurnClient {
 public:
  TurnClient(Outbox& outbox, MetadataLog& metadata_log) : outbox_(outbox), metadata_log_(metadata_log) {}
  /// Handles requests from this process's router and replies from owners; returns false for all other messages.
  bool handle(const Envelope& envelope, TimePoint now);
  /// Resends unanswered requests, promptly if the owner has changed, and gives up those that have timed out.
  void tick(TimePoint now);
  /// Number of unanswered requests.
  size_t unanswered_requests() const { return reservations_.size() + commits_.size(); }
  /// Whether this gateway runs the turn, or its outcome was not acknowledged yet.
  bool is_in_flight(const std::string& attempt) const { return granted_.count(attempt) || commits_.count(attempt); }

 private:
  template <class Body>
  struct Unanswered {
    Body body;
    TimePoint first_sent_at{};
    TimePoint last_sent_at{};
    /// The daemon that the request was last sent to; 0 if it was not sent, or if that daemon is not the owner.
    DaemonId owner{};
  };
  /// An outcome for which the owner did not know a reservation.
  struct UnmatchedCommit {
    CommitTurn body{};
    TimePoint acknowledged_at{};
  };

  void on_reserve(const ReserveTurn& request, TimePoint now);
  void on_commit(const CommitTurn& request, TimePoint now);
  void on_reply(const ReserveTurnReply& reply, TimePoint now);
  void on_reply(const CommitTurnReply& reply, TimePoint now);
  void release_late_grant(const std::string& attempt, TimePoint now);
  void tick_reservations(TimePoint now);
  void tick_commits(TimePoint now);
  const Daemon* owner(const std::string& program) const;
  /// Sends the request to the current owner, if there is one in service.
  template <class Body>
  void send(Unanswered<Body>& request, TimePoint now);
  template <class Body>
  bool is_due(const Unanswered<Body>& request, TimePoint now) const;

  Outbox& outbox_;
  MetadataLog& metadata_log_;
  /// All keyed by the attempt id of the turn.
  std::map<std::string, Unanswered<ReserveTurn>> reservations_;
  std::map<std::string, Unanswered<CommitTurn>> commits_;
  /// Granted turns without an outcome.
  std::set<std::string> granted_;
  /// "Not run" outcomes that reached the owner before the reservation did. If the reservation is granted later, the
  /// outcome is sent again to release it.
  std::map<std::string, UnmatchedCommit> unmatched_commits_;
};

}  // namespace mosskeel
