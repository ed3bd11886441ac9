#pragma once
// Finishes Paxos instances that their proposers have abandoned.
#include "consensus/proposer.hpp"

namespace mosskeel {

/// Watches the acceptor's open instance: a proposal whose proposer gave up or stopped may be decided already without
/// anybody knowing it. Owned by `ControllerMachine` and used on its thread only.
class OpenInstanceWatch {
 public:
  OpenInstanceWatch(Outbox& outbox, const MetadataLog& metadata_log, const Acceptor& acceptor, Proposer& proposer)
      : outbox_(outbox), metadata_log_(metadata_log), acceptor_(acceptor), proposer_(proposer) {}

  /// Proposes the accepted proposal anew once it has been left undecided for two heartbeat intervals.
  void tick(TimePoint now);

 private:
  Outbox& outbox_;
  const MetadataLog& metadata_log_;
  const Acceptor& acceptor_;
  Proposer& proposer_;
  /// Since when, at the log's present epoch, the acceptor has an accepted proposal that nobody has finished.
  TimePoint unfinished_since_{};
  Epoch unfinished_after_{};
};

}  // namespace mosskeel
