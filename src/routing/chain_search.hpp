#pragma once
// Search of all stores for the chain of a turn that belongs to another program's history.
#include "messages/message.hpp"
#include "runtime/state_machine.hpp"

namespace mosskeel {

/// Queries every store for a turn that the owner does not know, until one store returns it or all have answered that
/// they do not have it: only then is the turn known to be missing.
class ChainSearch {
 public:
  enum class State { searching, missing, timed_out };
  /// Whether a search is in progress.
  bool active() const { return active_; }
  /// Starts or continues the search: queries the stores that have not answered, and repeats that after the retry
  /// interval. `started_at` is when the caller's turn started to wait.
  State advance(Outbox& outbox, const Metadata& metadata, const std::string& turn, TimePoint started_at, TimePoint now);
  /// A store has answered that it does not have the turn.
  void on_missing(DaemonId store) { stores_without_turn_.insert(store); }
  /// A store has returned the chain.
  void on_found() { active_ = false; }

 private:
  bool active_ = false;
  TimePoint last_sent_at_{};
  std::set<DaemonId> stores_without_turn_;
};

}  // namespace mosskeel
