#include "consensus/open_instance_watch.hpp"

#include "consensus/constants.hpp"
#include "replication/constants.hpp"

namespace mosskeel {

void OpenInstanceWatch::tick(TimePoint now) {
  if (!acceptor_.has_accepted() || unfinished_after_ != metadata_log_.epoch()) {
    unfinished_since_ = now;
    unfinished_after_ = metadata_log_.epoch();
  }
  bool abandoned = outbox_.cluster && now - unfinished_since_ > kHeartbeatInterval * 2;
  if (!abandoned || !proposer_.idle())
    return;
  // Spread, so that the controllers that see the same instance do not duel.
  unfinished_since_ = now + outbox_.jitter(kProposalJitter);
  proposer_.finish_open_instance(now);
}

}  // namespace mosskeel
