#pragma once
// A front's link to the owners of its callers' turns: asks until there is an answer, follows a program that moves.
#include "routing/turn_coordinator.hpp"

namespace mosskeel {

/// Where the traffic of this process listens to its control state.
inline const Address kRoutingAddress = "local:traffic";

class TurnClient {
 public:
  TurnClient(Outbox& out, MetadataLog& metadata_log) : out_(out), metadata_log_(metadata_log) {}
  /// Asks and outcomes from this process's own traffic, answers from owners; false leaves the message to the caller.
  bool handle(const Envelope& e, Millis now);
  /// Asks again what has no answer, at once where the owner has changed.
  void tick(Millis now);
  size_t waiting() const { return asks_.size() + ends_.size(); }
  /// Whether this process still carries the turn.
  bool is_in_flight(const std::string& attempt) const { return running_.count(attempt) || ends_.count(attempt); }

 private:
  template <class T>
  struct Open {
    T body;
    Millis born = 0, last = 0;
    DaemonId owner{};
  };
  const Daemon* owner(const std::string& program) const;
  template <class T>
  bool send(Open<T>& x, Millis now);

  Outbox& out_;
  MetadataLog& metadata_log_;
  std::map<std::string, Open<ReserveTurn>> asks_;
  std::map<std::string, Open<CommitTurn>> ends_;
  std::set<std::string> running_;
  /// Outcomes that their owner knew no turn for, and when: an ask that was overtaken may still reserve.
  std::map<std::string, std::pair<CommitTurn, Millis>> overtaken_;
};

}  // namespace mosskeel
