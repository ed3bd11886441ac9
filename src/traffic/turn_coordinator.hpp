#pragma once
// The owner's side of turns that fronts carry: budget, chain, a durable reservation before, the outcome after.
#include <unordered_map>

#include "history/history_writer.hpp"

namespace mosskeel {

/// The line on which a program's turns lie, whatever path they came by.
LineName turn_line(const std::string& program);

class TurnCoordinator {
 public:
  TurnCoordinator(Outbox& out, Ledger& led, HistoryWriter& keep) : out_(out), led_(led), keep_(keep) {}
  /// Handles what concerns turns as their owner; false leaves the message to the caller.
  bool on(const Envelope& e, Millis now);
  /// Goes on with what waited for these lines.
  void advance(const std::set<LineName>& changed, Millis now);
  void tick(Millis now);
  /// Whether something is under way on a line, so that it must not end.
  bool busy(const LineName& n) const;
  size_t waiting() const { return asks_.size() + ends_.size(); }

 private:
  struct Pending {
    TurnAsk ask;
    Address from;
    Incarnation inc;
    LineName line;
    Millis born = 0, searched = 0;
    uint64_t mark = 0;
    bool searching = false;
    std::set<DaemonId> without;
  };
  struct Ending {
    TurnSettle settle;
    Address from;
    Incarnation inc;
    LineName line;
    Millis born = 0;
    uint64_t mark = 0;
  };
  static constexpr size_t none = SIZE_MAX;
  struct Turn {
    size_t intent = none, settled = none;
    uint32_t status = 0;
  };
  /// What a line's records add up to, kept so that a turn does not walk its whole line.
  struct Tab {
    Epoch term;
    size_t seen = 0;
    uint64_t spent = 0, reserved = 0;
    std::unordered_map<std::string, Turn> turns;
  };
  enum class Verdict { wait, over };
  bool mine(const LineName& n) const;
  Tab& tab(const LineName& n);
  Verdict serve(Pending& p, Millis now);
  Verdict settle(Ending& x, Millis now);
  Verdict refuse(const Pending& p, uint32_t status, std::string reason, uint32_t retry_ms);
  Verdict search(Pending& p, Millis now);
  void found(const Envelope& e, const ChainFound& f, Millis now);
  std::string chain(const LineName& n, const Tab& t, const std::string& turn) const;

  Outbox& out_;
  Ledger& led_;
  HistoryWriter& keep_;
  std::map<std::string, Pending> asks_;
  std::map<std::string, Ending> ends_;
  std::map<LineName, Tab> tabs_;
};

}  // namespace mosskeel
