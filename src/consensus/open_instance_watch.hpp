#pragma once
// Finishes Paxos instances that were abandoned by their proposers.
#include "consensus/proposer.hpp"

namespace mosskeel {

/// Watches the acceptor's open instance: a proposal whose proposer gave up or stopped may already be decided without
/// any controller knowing it. Owned by `ControllerMachine` and used on its thread only.
class OpenInstanceWatch {
 public:
  OpenInstanceWatch(Outbox& outbox, const MetadataLog& metadata_log, const Acceptor& acceptor, Proposer& proposer)
      : outbox_(outbox), metadata_log_(metadata_log), acceptor_(acceptor), proposer_(proposer) {}

  /// Proposes the accepted proposal again once it has remained undecided for two heartbeat intervals.
  void tick(TimePoint now);

 private:
  Outbox& outbox_;
  const MetadataLog& metadata_log_;
  const Acceptor& acceptor_;
  Proposer& proposer_;
  /// Since when the acceptor has had an accepted but undecided proposal at the log's present epoch.
  TimePoint unfinished_since_{};
  Epoch unfinished_after_{};
};

}  // namespace mosskeel
