#pragma once
// How a controller gets into the directory of the cluster.
#include "replication/metadata_log.hpp"

namespace mosskeel {

/// Asks one member of the core after the other to register this controller, again if it was taken out of the directory.
/// Owned by `ControllerMachine`.
class ControllerRegistration {
 public:
  ControllerRegistration(Outbox& outbox, const MetadataLog& metadata_log)
      : outbox_(outbox), metadata_log_(metadata_log) {}
  /// Requests the registration if it is missing, and the last request was long enough ago.
  void request_if_needed(TimePoint now);

 private:
  Outbox& outbox_;
  const MetadataLog& metadata_log_;
  TimePoint next_request_at_{};
  /// Counts the members that were asked or passed over.
  size_t next_member_ = 0;
};

}  // namespace mosskeel
