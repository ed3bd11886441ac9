#pragma once
// A gateway: owner of its partitions' programs, proxy to the owners of all others.
#include <boost/heap/priority_queue.hpp>

#include "history/history_writer.hpp"
#include "programs/admission_policy.hpp"
#include "replication/follower.hpp"
#include "routing/routing_snapshot.hpp"
#include "routing/turn_client.hpp"

namespace mosskeel {

class GatewayMachine : public Machine {
 public:
  /// `agent` is where the agent listens.
  GatewayMachine(const Identity& id, Millis now);
  Actions step(const Envelope& e, Millis now) override;
  Actions tick(Millis now) override;
  View view() const override { return metadata_log_.view(); }
  /// Begins an orderly leave: hands partitions over, lets running turns end, then stops.
  void begin_shutdown() { stopping_ = true; }
  bool ready(Millis now) const;
  /// In touch with a majority lately, and not for long without an epoch that it has heard of.
  bool has_majority_contact(Millis now) const;
  const std::map<std::string, uint64_t>& metrics() const { return metrics_; }
  size_t active_requests() const { return works_.size(); }
  /// What this process's traffic may rely on.
  RoutingSnapshot routing_snapshot(Millis now) const;
  /// How many callers' requests the traffic of this process carries: it does not stop under them.
  void set_open_routing_sessions(size_t n) { carried_ = n; }

 private:
  enum class Stage { opening, waiting, queued, reserving, running, settling, handing, proxying };
  struct Work {
    ProgramRequest e{};
    Address reply;
    Incarnation reply_inc;
    Stage stage = Stage::opening;
    HistoryName history;
    PartitionId partition{};
    Epoch term{};
    uint64_t mark = 0, tokens = 0, reservation = 0, seq = 0;
    std::string replica, text;
    uint32_t pieces = 0, turn = 0;
    Millis born = 0, deadline = 0, last = 0, asked = 0;
    bool direct = false, seen = false, again = false;
    /// It went to an owner whose verdict never came, so "not run" may no longer be said.
    bool outcome_unknown = false, sent = false;
    DaemonId target{};
    ProgramResponse end{};
    Record settled{};
  };
  /// The first epoch heard of that this gateway does not have, and since when it lacks it.
  struct Behind {
    Epoch epoch;
    Millis since;
  };
  struct Late {
    Envelope from{};
    uint64_t mark = 0;
    Millis born = 0;
    Epoch term{};
  };
  /// What the front that wrote a reservation said of it; `over` is its last word.
  struct Asked {
    Millis at = 0;
    bool over = false;
  };
  struct Key {
    bool urgent;
    uint64_t seq;
    std::string attempt;
    bool operator<(const Key& o) const { return std::tie(urgent, o.seq) < std::tie(o.urgent, seq); }
  };
  using Ref = Work&;

  void handle(const Envelope& e, Millis now);
  void on(const Envelope& e, const ProgramRequest& x, Millis now);
  void on(const Envelope& e, const HeartbeatReply& h, Millis now);
  void hear_of(Epoch epoch, Millis now);
  void caught_up(Millis now);
  Millis in_touch_until() const;
  void on(const Envelope& e, const ProgramResponse& x, Millis now);
  void on(const Envelope& e, const ProgramResponseChunk& x, Millis now);
  void on(const Envelope& e, const TransferTurnOutcome& x, Millis now);
  void on(const ReplicaCallChunk& p, Millis now);
  void on(const ReplicaCallResponse& r, Millis now);
  void route(Ref w, Millis now);
  void proxy(Ref w, Millis now);
  void advance(Ref w, Millis now);
  void opened(Ref w, Millis now);
  bool examine(Ref w, Millis now);
  void history(Ref w, Millis now);
  void enqueue(Ref w);
  void drain_queue(Millis now);
  void reserve(Ref w, Millis now);
  void dispatch(Ref w, Millis now);
  void settle(Ref w, uint32_t status, Outcome ran, std::string reason, uint64_t tokens, Millis now);
  void hand_over(Ref w, Millis now);
  void end(Ref w, Millis now);
  void complete(Ref w, Millis now);
  void refuse(Ref w, uint32_t status, std::string reason, uint32_t retry, Millis now, Outcome ran = Outcome::no);
  bool late(Late& l, Millis now);
  void on(const Envelope& e, const HistoryExpired& x, Millis now);
  void gone(Ref w, Millis now);
  void beat(Millis now);
  void sweep(Millis now);
  bool running_elsewhere(const HistoryName& n, const Record& reservation, Millis now);
  bool running_here(const HistoryName& n, const std::string& key) const;
  const Daemon* me() const { return metadata_log_.view()->find(out_.id().self.incarnation); }
  const Daemon* owner(PartitionId s) const {
    auto& m = *metadata_log_.view();
    return s.value() < m.partitions.size() ? m.find(m.partitions[s.value()].owner) : nullptr;
  }
  Situation situation(Millis now, const ProgramRequest& e, bool proxied) const;
  Millis expected_wait(const std::string& kind, bool urgent) const;
  void paced(const std::string& kind, Millis now);
  void free_replica(Ref w);
  size_t count(Stage s) const;

  Outbox out_;
  MetadataLog metadata_log_;
  Follower follower_;
  HistoryWriter history_writer_;
  TurnCoordinator reg_;
  TurnClient turn_client_;
  ReplicaSelector nom_;
  std::map<std::string, Work> works_;
  std::map<std::string, std::pair<Millis, std::optional<ProgramResponse>>> ended_;
  std::vector<Late> lates_;
  /// Which stores say that a history has outlived its retention, and at which length.
  std::map<HistoryName, std::map<DaemonId, uint64_t>> aged_;
  std::map<std::tuple<HistoryName, std::string, DaemonId>, Asked> runners_;
  boost::heap::priority_queue<Key> queue_;
  std::map<std::string, uint64_t> metrics_;
  Millis touched_ = INT64_MIN / 2, next_beat_ = 0, next_sweep_ = 0, last_work_ = 0;
  Epoch beaten_{}, ahead_{};
  std::optional<Behind> behind_;
  /// What an answer of the agent said of touch at an epoch that this gateway does not have yet.
  std::optional<std::pair<Epoch, Millis>> early_touch_;
  uint64_t seq_ = 0;
  size_t carried_ = 0;
  /// How fast requests of a kind leave the queue while somebody waits in it.
  struct Pace {
    double interval = 0;
    Millis last = 0;
  };
  std::map<std::string, Pace> paces_;
  double retries_ = 10;
  bool confirmed_ = false, stopping_ = false, was_in_touch_ = false;
};

}  // namespace mosskeel
