#pragma once
// Decides which controllers are members of the core; changes one member at a time.
#include "consensus/majority_observation.hpp"

namespace mosskeel {

/// Decides the next change of the core's members.
///
/// Each step adds or removes one member: the new member is admitted first, then the lost member is removed. Majorities
/// of two sets that differ by one member always intersect; those before and after a swap need not. A lost member for
/// which there is no replacement is removed if that makes the majority smaller. The core grows only while all its
/// members are in contact, so that no member is added while the loss of another one is not yet marked. Owned by
/// `Supervisor`.
class CoreMembershipPolicy {
 public:
  CoreMembershipPolicy(const MetadataLog& metadata_log, const FailureDetector& detector,
                       const MajorityObservation& majority)
      : metadata_log_(metadata_log), detector_(detector), majority_(majority) {}

  std::optional<Transformation> next_change(TimePoint now);
  /// Whether a daemon that is marked down is running again.
  bool has_returned(const Daemon& daemon, TimePoint now) const;

 private:
  bool holds_log(const Daemon& daemon) const;
  const Daemon* find_new_member(TimePoint now) const;
  bool is_gone(const Daemon& member, TimePoint now) const;
  const Daemon* find_lost_member(TimePoint now) const;
  bool all_members_have_contact(TimePoint now) const;

  const MetadataLog& metadata_log_;
  const FailureDetector& detector_;
  const MajorityObservation& majority_;
  /// The earliest time at which a spare controller may enlarge the core.
  std::map<DaemonId, TimePoint> growth_allowed_from_;
};

}  // namespace mosskeel
