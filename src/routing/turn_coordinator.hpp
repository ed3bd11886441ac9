#pragma once
// The owner's side of turns that fronts carry: budget, chain, a durable reservation before, the outcome after.
#include <unordered_map>

#include "history/history_writer.hpp"

namespace mosskeel {

/// The history on which a program's turns lie, whatever path they came by.
HistoryName turn_history_name(const std::string& program);

class TurnCoordinator {
 public:
  TurnCoordinator(Outbox& out, MetadataLog& metadata_log, HistoryWriter& history_writer)
      : out_(out), metadata_log_(metadata_log), history_writer_(history_writer) {}
  /// Handles what concerns turns as their owner; false leaves the message to the caller.
  bool handle(const Envelope& e, Millis now);
  /// Goes on with what waited for these histories.
  void advance(const std::set<HistoryName>& changed, Millis now);
  void tick(Millis now);
  /// Whether something is under way on a history, so that it must not end.
  bool busy(const HistoryName& n) const;
  size_t waiting() const { return asks_.size() + ends_.size(); }

 private:
  struct Pending {
    ReserveTurn ask;
    Address from;
    Incarnation incarnation;
    HistoryName history;
    Millis born = 0, searched = 0;
    uint64_t mark = 0;
    bool searching = false;
    std::set<DaemonId> without;
  };
  struct Ending {
    CommitTurn settle;
    Address from;
    Incarnation incarnation;
    HistoryName history;
    Millis born = 0;
    uint64_t mark = 0;
  };
  static constexpr size_t none = SIZE_MAX;
  struct Turn {
    size_t reservation = none, settled = none;
    uint32_t status = 0;
  };
  /// What a history's records add up to, kept so that a turn does not walk its whole history.
  struct Tab {
    Epoch term;
    size_t seen = 0;
    uint64_t spent = 0, reserved = 0;
    std::unordered_map<std::string, Turn> turns;
  };
  enum class Verdict { wait, over };
  bool mine(const HistoryName& n) const;
  Tab& tab(const HistoryName& n);
  Verdict serve(Pending& p, Millis now);
  Verdict settle(Ending& x, Millis now);
  Verdict refuse(const Pending& p, uint32_t status, std::string reason, uint32_t retry_ms);
  Verdict search(Pending& p, Millis now);
  void found(const Envelope& e, const FindChainReply& f, Millis now);
  std::string chain(const HistoryName& n, const Tab& t, const std::string& turn) const;

  Outbox& out_;
  MetadataLog& metadata_log_;
  HistoryWriter& history_writer_;
  std::map<std::string, Pending> asks_;
  std::map<std::string, Ending> ends_;
  std::map<HistoryName, Tab> tabs_;
};

}  // namespace mosskeel
