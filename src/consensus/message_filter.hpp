#pragma once
// Selects the messages that a controller accepts, by the cluster and the incarnation that they are addressed to.
#include "replication/metadata_log.hpp"

namespace mosskeel {

/// Filters out messages of other clusters, and of former clusters from before a re-founding. Owned by
/// `ControllerMachine` and used on its thread only.
class MessageFilter {
 public:
  MessageFilter(Outbox& outbox, const MetadataLog& metadata_log) : outbox_(outbox), metadata_log_(metadata_log) {}

  /// Whether a message is addressed to this incarnation and comes from this cluster or a successor of it. From a former
  /// cluster, only the messages by which a daemon finds the present cluster are accepted.
  bool accepts(const Envelope& envelope) const;
  /// Handles a message that was not accepted: a sender in a former cluster is told about the present cluster, any other
  /// message is logged.
  void answer_rejected(const Envelope& envelope);

 private:
  bool is_of_former_cluster(const Envelope& envelope) const;

  Outbox& outbox_;
  const MetadataLog& metadata_log_;
};

}  // namespace mosskeel
