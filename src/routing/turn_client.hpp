#pragma once
// The caller's side of turns: the link of this gateway to the owners of its callers' programs.
#include "routing/turn_coordinator.hpp"

namespace mosskeel {

/// Where the request router of this process listens to its control state.
inline const Address kRoutingAddress = "local:routing";

/// Forwards reservations and outcomes of this process's router to the owner of the program, sends them again until they
/// are answered, and follows a partition to its new owner. Answers go to `kRoutingAddress`.
///
/// Part of the gateway's state machine and used on its thread; nothing is on disk.
class TurnClient {
 public:
  TurnClient(Outbox& outbox, MetadataLog& metadata_log) : outbox_(outbox), metadata_log_(metadata_log) {}
  /// Handles requests of this process's own router and replies of owners; false where the message is another's.
  bool handle(const Envelope& envelope, TimePoint now);
  /// Sends again what is unanswered, at once where the owner has changed, and gives up what timed out.
  void tick(TimePoint now);
  /// Number of unanswered requests.
  size_t waiting() const { return reservations_.size() + commits_.size(); }
  /// Whether this gateway runs the turn, or its outcome is not acknowledged yet.
  bool is_in_flight(const std::string& attempt) const { return granted_.count(attempt) || commits_.count(attempt); }

 private:
  template <class Body>
  struct Unanswered {
    Body body;
    TimePoint first_sent_at{};
    TimePoint last_sent_at{};
    /// To whom it was sent last; 0 where it was not, or where that one is not the owner.
    DaemonId owner{};
  };
  /// An outcome whose owner knew no reservation.
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
  /// Sends to the present owner, where there is one that is up.
  template <class Body>
  void send(Unanswered<Body>& request, TimePoint now);
  template <class Body>
  bool is_due(const Unanswered<Body>& request, TimePoint now) const;

  Outbox& outbox_;
  MetadataLog& metadata_log_;
  /// All by the attempt id of the turn.
  std::map<std::string, Unanswered<ReserveTurn>> reservations_;
  std::map<std::string, Unanswered<CommitTurn>> commits_;
  /// Turns that were granted and have no outcome yet.
  std::set<std::string> granted_;
  /// "Not run" outcomes that reached the owner before the reservation: that one may still be granted, and is then
  /// released by the outcome once more.
  std::map<std::string, UnmatchedCommit> unmatched_commits_;
};

}  // namespace mosskeel
