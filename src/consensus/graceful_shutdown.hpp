#pragma once
// How a controller stops in order.
#include "replication/metadata_log.hpp"

namespace mosskeel {

/// Lets the core go on without this controller before its process ends: it is marked down by a commit of its own, and
/// where a spare controller could become a member in its place, that is awaited, for `kControllerShutdownTimeout` at
/// most. Owned by `ControllerMachine`.
class GracefulShutdown {
 public:
  GracefulShutdown(Outbox& outbox, const MetadataLog& metadata_log) : outbox_(outbox), metadata_log_(metadata_log) {}

  void begin(TimePoint now) { begun_at_ = now; }
  bool in_progress() const { return begun_at_.has_value(); }
  /// Commits the mark; there must be a log that has this controller in its directory.
  void request_mark_down();
  /// Whether the process may end now.
  bool is_complete(TimePoint now) const;

 private:
  bool is_handed_over() const;

  Outbox& outbox_;
  const MetadataLog& metadata_log_;
  std::optional<TimePoint> begun_at_;
};

}  // namespace mosskeel
