#pragma once
// How controllers without a log find each other and found the cluster.
#include "consensus/discovered_controllers.hpp"
#include "consensus/proposer.hpp"

namespace mosskeel {

/// One controller's part in the founding: a Paxos instance at epoch 1 among fixed candidates.
///
/// Invariant: the candidates are the addresses of the first start's seeds, written to disk before any vote, so that
/// every founding asks a majority of one and the same set, whatever each controller has discovered. A controller that
/// starts with an empty disk later is no candidate: what it may have promised before is lost. Owned by
/// `ControllerMachine` and used on its thread only.
class Founding {
 public:
  Founding(Outbox& outbox, Proposer& proposer, DiscoveredControllers& discovered, TimePoint now)
      : outbox_(outbox), proposer_(proposer), discovered_(discovered), started_at_(now) {}

  /// Fixes the candidates if this is a controller's first start.
  void initialize(const Recovered& recovered);
  void recover(const FoundersRecord& record) { founders_ = record.addresses; }

  /// While there is no log: looks for others each interval, and proposes the founding when it is this one's turn.
  void tick(TimePoint now);
  /// Adds what a controller without a log tells those who look for others.
  void handle_reply(const DiscoverReply& reply, TimePoint now);
  /// A founded cluster was heard of: nothing is founded beside it.
  void record_founded_cluster(TimePoint now) { last_evidence_at_ = now; }
  /// Whether this controller may vote for or propose a founding now.
  bool may_vote(TimePoint now) const;

 private:
  bool is_founder(const Address& address) const;
  DaemonInfos candidates() const;
  Duration proposal_delay(const DaemonInfos& candidates) const;
  void propose_if_due(TimePoint now);

  Outbox& outbox_;
  Proposer& proposer_;
  DiscoveredControllers& discovered_;
  TimePoint started_at_{};
  TimePoint next_discovery_at_{};
  /// When a message of a founded cluster came last, while this controller had no log.
  TimePoint last_evidence_at_ = kLongAgo;
  /// Whose controllers may found the cluster; empty for one that has no vote in it.
  Addresses founders_;
};

}  // namespace mosskeel
