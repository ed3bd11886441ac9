#pragma once
// What a majority of the core members has observed about a daemon.
#include "consensus/supervisor_lease.hpp"

namespace mosskeel {

/// Combines the heartbeat ages that members reported with their lease replies during the last lease duration. The view
/// of one controller is not sufficient, because its own links may have failed. Owned by `Supervisor`.
class MajorityObservation {
 public:
  MajorityObservation(const MetadataLog& metadata_log, const SupervisorLease& lease)
      : metadata_log_(metadata_log), lease_(lease) {}

  /// Whether a majority has received no heartbeat from the daemon for `timeout`.
  bool is_silent(const Daemon& daemon, Duration timeout, TimePoint now) const;
  /// Whether a majority has received a heartbeat from the daemon within the last three heartbeat intervals.
  bool has_majority_contact(const Daemon& daemon, TimePoint now) const;

 private:
  bool majority_agrees(const Daemon& daemon, TimePoint now,
                       const std::function<bool(Duration heartbeat_age)>& agrees) const;

  const MetadataLog& metadata_log_;
  const SupervisorLease& lease_;
};

}  // namespace mosskeel
