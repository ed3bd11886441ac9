#pragma once
// Registration of a controller in the cluster's directory.
#include "replication/metadata_log.hpp"

namespace mosskeel {

/// Asks the core members in turn to register this controller, also again after it was removed from the directory. Owned
/// by `ControllerMachine`.
class ControllerRegistration {
 public:
  ControllerRegistration(Outbox& outbox, const MetadataLog& metadata_log)
      : outbox_(outbox), metadata_log_(metadata_log) {}
  /// Requests the registration if it is missing and the retry interval has passed.
  void request_if_needed(TimePoint now);

 private:
  Outbox& outbox_;
  const MetadataLog& metadata_log_;
  TimePoint next_request_at_{};
  /// Number of members asked or skipped so far; selects the next one.
  size_t next_member_ = 0;
};

}  // namespace mosskeel
