#pragma once
// The owner's side of the histories: fence, read from a majority, adopt, append.
#include "replication/metadata_log.hpp"

namespace mosskeel {

class HistoryWriter {
 public:
  enum class State { opening, open, fenced, unavailable };
  HistoryWriter(Outbox& out, MetadataLog& metadata_log) : out_(out), metadata_log_(metadata_log) {}

  /// Starts opening a history of a partition we own; call again at will.
  State open(const HistoryName& n, Millis now);
  /// The records of an open history; all of them, committed or under way.
  const Records& records(const HistoryName& n) const;
  /// Appends to an open history; the number to wait for.
  uint64_t append(const HistoryName& n, Record r, Millis now);
  /// Whether a record of the history, one of `records`, lies on a majority; until then nobody may be told of it.
  bool is_committed(const HistoryName& n, const Record& r) const;
  /// How many records a majority has synced.
  uint64_t committed_length(const HistoryName& n) const;
  /// The term under which the history is open, to notice a change of ownership.
  Epoch term(const HistoryName& n) const;
  /// Whether an open history has ended: its text is gone or may go, and nothing runs on it any more.
  bool ended(const HistoryName& n) const;
  bool handle(const Envelope& e, Millis now);
  void tick(Millis now);
  /// Histories whose state or committed length changed since the last call.
  std::set<HistoryName> take_changed() { return std::exchange(changed_, {}); }
  /// Whether those who said so are a majority of the history's stores.
  bool has_quorum(const HistoryName& n, const std::function<bool(DaemonId)>& has) const;
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
    PartitionId partition{};
    Epoch term{};
    State state = State::opening;
    bool reading = true, has_tombstone = false;
    Epoch best_term{};
    Records records;
    std::map<DaemonId, Peer> peers;
    std::map<DaemonId, Incarnation> incs;
    uint64_t committed = 0;
    Millis since = 0, used = 0;
  };
  bool has_read(const Held& h, const Peer& p) const;
  bool enough(const Held& h, const std::function<bool(DaemonId)>& has) const;
  void pump(const HistoryName& n, Held& h, Millis now, bool retry);
  void settle(const HistoryName& n, Held& h, Millis now);
  std::vector<const Daemon*> targets(const Held& h) const;
  bool mine(PartitionId s) const;

  Outbox& out_;
  MetadataLog& metadata_log_;
  std::map<HistoryName, Held> lines_;
  std::set<HistoryName> changed_;
};

}  // namespace mosskeel
