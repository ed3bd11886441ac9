#include "consensus/open_instance_watch.hpp"

#include "consensus/constants.hpp"
#include "replication/constants.hpp"

namespace mosskeel {

void OpenInstanceWatch::tick(TimePoint now) {
  if (!acceptor_.has_accepted() || unfinished_after_ != metadata_log_.epoch()) {
    unfinished_since_ = now;
    unfinished_after_ = metadata_log_.epoch();
  }
  bool is_abandoned = outbox_.cluster && now - unfinished_since_ > kHeartbeatInterval * 2;
  if (!is_abandoned || !proposer_.idle())
    return;
  // Jitter keeps the controllers that see the same instance from duelling.
  unfinished_since_ = now + outbox_.jitter(kProposalJitter);
  proposer_.finish_open_instance(now);
}

}  // namespace mosskeel
