#pragma once
// The owner's side of the lines: fence, read from a majority, adopt, append.
#include "follow/ledger.hpp"

namespace mosskeel {

class HistoryWriter {
 public:
  enum class State { opening, open, fenced, unavailable };
  HistoryWriter(Outbox& out, Ledger& led) : out_(out), led_(led) {}

  /// Starts opening a line of a slot we own; call again at will.
  State open(const LineName& n, Millis now);
  /// The records of an open line; all of them, committed or under way.
  const Records& records(const LineName& n) const;
  /// Appends to an open line; the number to wait for.
  uint64_t append(const LineName& n, Record r, Millis now);
  /// Whether a record of the line, one of `records`, lies on a majority; until then nobody may be told of it.
  bool kept(const LineName& n, const Record& r) const;
  /// How many records a majority has synced.
  uint64_t committed(const LineName& n) const;
  /// The term under which the line is open, to notice a change of ownership.
  Epoch term(const LineName& n) const;
  /// Whether an open line has ended: its text is gone or may go, and nothing runs on it any more.
  bool ended(const LineName& n) const;
  bool on(const Envelope& e, Millis now);
  void tick(Millis now);
  /// Lines whose state or committed length changed since the last call.
  std::set<LineName> changed() { return std::exchange(changed_, {}); }
  /// Whether those who said so are a majority of the line's stores.
  bool agreed(const LineName& n, const std::function<bool(DaemonId)>& has) const;
  size_t open_lines() const { return lines_.size(); }

 private:
  struct Peer {
    uint64_t acked = 0, sent = 0;
    bool read = false, adopted = false;
    /// The epoch that the store knew when it answered the reading.
    Epoch read_at{};
    Millis last = 0;
  };
  struct Held {
    SlotId slot{};
    Epoch term{};
    State state = State::opening;
    bool reading = true, buried = false;
    Epoch best_term{};
    Records records;
    std::map<DaemonId, Peer> peers;
    std::map<DaemonId, Incarnation> incs;
    uint64_t committed = 0;
    Millis since = 0, used = 0;
  };
  bool has_read(const Held& h, const Peer& p) const;
  bool enough(const Held& h, const std::function<bool(DaemonId)>& has) const;
  void pump(const LineName& n, Held& h, Millis now, bool retry);
  void settle(const LineName& n, Held& h, Millis now);
  std::vector<const Daemon*> targets(const Held& h) const;
  bool mine(SlotId s) const;

  Outbox& out_;
  Ledger& led_;
  std::map<LineName, Held> lines_;
  std::set<LineName> changed_;
};

}  // namespace mosskeel
