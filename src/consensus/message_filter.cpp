#include "consensus/message_filter.hpp"

#include <algorithm>

namespace mosskeel {

bool MessageFilter::is_of_former_cluster(const Envelope& envelope) const {
  const auto& former = metadata_log_.view()->former_clusters;
  return std::find(former.begin(), former.end(), envelope.cluster) != former.end();
}

bool MessageFilter::accepts(const Envelope& envelope) const {
  const Metadata& metadata = *metadata_log_.view();
  if (envelope.to_incarnation.value() && envelope.to_incarnation != outbox_.id().self.incarnation)
    return false;
  if (envelope.cluster == 0 || outbox_.cluster == 0 || envelope.cluster == outbox_.cluster ||
      is_successor_cluster(metadata, envelope.cluster))
    return true;
  const Daemon* sender = metadata.find(envelope.from_incarnation);
  bool may_return = !sender || sender->state != DaemonState::left;
  bool finds_cluster = std::holds_alternative<Heartbeat>(envelope.body) ||
                       std::holds_alternative<Catchup>(envelope.body) ||
                       std::holds_alternative<Discover>(envelope.body);
  return is_of_former_cluster(envelope) && may_return && finds_cluster;
}

void MessageFilter::answer_rejected(const Envelope& envelope) {
  if (!is_of_former_cluster(envelope))
    return outbox_.log_event(Event::foreign, "from " + envelope.from);
  const Metadata& metadata = *metadata_log_.view();
  outbox_.send(envelope.from, DiscoverReply{outbox_.id().self, outbox_.cluster, metadata_log_.epoch(), {}, {}});
  const Daemon* sender = metadata.find(envelope.from_incarnation);
  bool catches_up = std::holds_alternative<Heartbeat>(envelope.body) || std::holds_alternative<Catchup>(envelope.body);
  // A controller gets a whole snapshot, never entries, because entries may not apply to the log that it has.
  if (sender && sender->self.role == Role::controller && catches_up)
    outbox_.send(envelope.from, CatchupReply{metadata_log_.epoch(), metadata, {}});
}

}  // namespace mosskeel
