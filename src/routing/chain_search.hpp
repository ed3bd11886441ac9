#pragma once
// Search for the chain of a turn that another program's history holds.
#include "messages/message.hpp"
#include "runtime/state_machine.hpp"

namespace mosskeel {

/// Asks every store for a turn that its owner does not know, until one has it or all have answered that they don't:
/// only then the turn is known to be missing.
class ChainSearch {
 public:
  enum class State { searching, missing, timed_out };
  /// Whether the answer of a store is awaited.
  bool active() const { return active_; }
  /// Begins or goes on: asks the stores that have not answered, again after the retry interval. `started_at` is when
  /// the caller's turn began to wait.
  State advance(Outbox& outbox, const Metadata& metadata, const std::string& turn, TimePoint started_at, TimePoint now);
  /// A store has answered that it does not hold the turn.
  void on_missing(DaemonId store) { without_turn_.insert(store); }
  /// A store has answered with the chain.
  void on_found() { active_ = false; }

 private:
  bool active_ = false;
  TimePoint last_asked_at_{};
  std::set<DaemonId> without_turn_;
};

}  // namespace mosskeel
