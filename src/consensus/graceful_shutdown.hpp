#pragma once
// Graceful shutdown of a controller.
#include "replication/metadata_log.hpp"

namespace mosskeel {

/// Hands over this controller's role in the core before its process ends: it commits that it is down and, if a spare
/// controller can become a member in its place, waits for that, at most for `kControllerShutdownTimeout`. Owned by
/// `ControllerMachine`.
class GracefulShutdown {
 public:
  GracefulShutdown(Outbox& outbox, const MetadataLog& metadata_log) : outbox_(outbox), metadata_log_(metadata_log) {}

  void begin(TimePoint now) { begun_at_ = now; }
  bool in_progress() const { return begun_at_.has_value(); }
  /// Commits a `MarkDown` of this controller, which must be in the log's directory.
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
