#pragma once
// Cluster bootstrap: how controllers without a log discover each other and found the cluster.
#include "consensus/discovered_controllers.hpp"
#include "consensus/proposer.hpp"

namespace mosskeel {

/// One controller's part in founding the cluster: a Paxos instance at epoch 1 among a fixed set of founders.
///
/// Invariant: the founders are the seed addresses configured at the first start. They are written to disk before any
/// vote, so that every attempt needs a majority of the same set, regardless of which controllers have been discovered.
/// A controller that starts later with an empty disk is not a founder, because promises that it may have made before
/// are lost. Owned by `ControllerMachine` and used on its thread only.
class Founding {
 public:
  Founding(Outbox& outbox, Proposer& proposer, DiscoveredControllers& discovered, TimePoint now)
      : outbox_(outbox), proposer_(proposer), discovered_(discovered), started_at_(now) {}

  /// Fixes the founders if this is the controller's first start.
  void initialize(const Recovered& recovered);
  void recover(const FoundersRecord& record) { founders_ = record.addresses; }

  /// Called while there is no log: sends discovery messages each interval, and proposes the founding when it is this
  /// controller's turn.
  void tick(TimePoint now);
  /// Records the sender of a discovery reply and sends discovery messages to the unknown candidates that it names.
  void handle_reply(const DiscoverReply& reply, TimePoint now);
  /// Records that a message of an existing cluster arrived, which prevents the founding of another one.
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
  /// When the last message of an existing cluster arrived, while this controller had no log.
  TimePoint last_evidence_at_ = kLongAgo;
  /// The addresses whose controllers may found the cluster; empty for a controller that has no vote in it.
  Addresses founders_;
};

}  // namespace mosskeel
