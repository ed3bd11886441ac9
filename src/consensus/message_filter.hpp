#pragma once
// Which messages a controller takes, by the cluster and the incarnation that they are meant for.
#include "replication/metadata_log.hpp"

namespace mosskeel {

/// Keeps messages of other clusters and of former ones, from before a re-founding, away from the state machine. Owned
/// by `ControllerMachine` and used on its thread only.
class MessageFilter {
 public:
  MessageFilter(Outbox& outbox, const MetadataLog& metadata_log) : outbox_(outbox), metadata_log_(metadata_log) {}

  /// Whether a message is for this incarnation, and of this cluster or one that succeeds it. Of a former cluster only
  /// those messages are taken by which a daemon finds its way to the present one.
  bool accepts(const Envelope& envelope) const;
  /// Answers a message that was not accepted: its sender learns of the present cluster if it belongs to a former one.
  void answer_rejected(const Envelope& envelope);

 private:
  bool is_of_former_cluster(const Envelope& envelope) const;

  Outbox& outbox_;
  const MetadataLog& metadata_log_;
};

}  // namespace mosskeel
