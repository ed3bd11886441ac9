#pragma once
// What a majority of the core's members has observed of a daemon.
#include "consensus/supervisor_lease.hpp"

namespace mosskeel {

/// Counts the members whose heartbeat ages came with their replies within the last lease. One controller's own view is
/// never enough: its links may be the broken ones. Owned by `Supervisor`.
class MajorityObservation {
 public:
  MajorityObservation(const MetadataLog& metadata_log, const SupervisorLease& lease)
      : metadata_log_(metadata_log), lease_(lease) {}

  /// Whether a majority has had no heartbeat of the daemon for `timeout`.
  bool is_silent(const Daemon& daemon, Duration timeout, TimePoint now) const;
  /// Whether a majority has had one within the last three intervals.
  bool has_majority_contact(const Daemon& daemon, TimePoint now) const;

 private:
  bool majority_agrees(const Daemon& daemon, TimePoint now,
                       const std::function<bool(Duration heartbeat_age)>& agrees) const;

  const MetadataLog& metadata_log_;
  const SupervisorLease& lease_;
};

}  // namespace mosskeel
