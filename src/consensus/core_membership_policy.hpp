#pragma once
// Which controllers make the core: admission and removal, one member a step.
#include "consensus/majority_observation.hpp"

namespace mosskeel {

/// Decides the next change of the core's members.
///
/// Members come and go one at a time: a newcomer is admitted first and the lost member is removed next, since the
/// majorities of two sets that differ by one member always meet, and those of a swap need not. A lost member without a
/// newcomer is removed where that makes the majority smaller. The core grows only while all its members are heard, so
/// that nobody is admitted beside a loss that is not yet marked. Owned by `Supervisor`.
class CoreMembershipPolicy {
 public:
  CoreMembershipPolicy(const MetadataLog& metadata_log, const FailureDetector& detector,
                       const MajorityObservation& majority)
      : metadata_log_(metadata_log), detector_(detector), majority_(majority) {}

  std::optional<Transformation> next_change(TimePoint now);
  /// Whether a daemon that is marked down runs again.
  bool has_returned(const Daemon& daemon, TimePoint now) const;

 private:
  bool holds_log(const Daemon& daemon) const;
  const Daemon* find_newcomer(TimePoint now) const;
  bool is_gone(const Daemon& member, TimePoint now) const;
  const Daemon* find_lost_member(TimePoint now) const;
  bool all_members_have_contact(TimePoint now) const;

  const MetadataLog& metadata_log_;
  const FailureDetector& detector_;
  const MajorityObservation& majority_;
  /// Before this time a spare controller makes the core no larger.
  std::map<DaemonId, TimePoint> growth_not_before_;
};

}  // namespace mosskeel
