#pragma once
// The decisions of the supervisor lease's holder: daemon states, core membership, joins, drains and repairs.
#include "consensus/core_membership_policy.hpp"
#include "consensus/sequence_coordinator.hpp"

namespace mosskeel {

/// Commits one change at a time, the most urgent first, while this controller holds the supervisor lease.
///
/// Every change is an ordinary commit, so a supervisor that has unknowingly lost its lease can do no harm: its changes
/// are validated against the newest metadata. Owned by `ControllerMachine`; not persisted.
class Supervisor {
 public:
  Supervisor(Outbox& outbox, MetadataLog& metadata_log, const FailureDetector& detector, const SupervisorLease& lease)
      : outbox_(outbox),
        metadata_log_(metadata_log),
        detector_(detector),
        lease_(lease),
        majority_(metadata_log, lease),
        core_membership_(metadata_log, detector, majority_),
        sequences_(outbox, metadata_log, detector, majority_) {}

  void tick(TimePoint now);
  /// Allows the next change once the reply to the previous one has arrived.
  void handle(const CommitReply& reply) {
    if (reply.id == pending_commit_)
      pending_commit_.clear();
  }

 private:
  /// Since when a replica has been known to be warming up, in the state that it entered at this epoch.
  struct WarmUp {
    Epoch state_epoch{};
    TimePoint since{};
  };

  std::optional<Transformation> next_change(TimePoint now);
  std::optional<Transformation> update_daemon_states(TimePoint now);
  std::optional<Transformation> finish_warm_up(TimePoint now);
  std::optional<Transformation> update_quorum_membership() const;

  Outbox& outbox_;
  MetadataLog& metadata_log_;
  const FailureDetector& detector_;
  const SupervisorLease& lease_;
  MajorityObservation majority_;
  CoreMembershipPolicy core_membership_;
  SequenceCoordinator sequences_;
  /// The id of the commit in flight, empty if none, and the time until which its reply is awaited.
  std::string pending_commit_;
  TimePoint pending_until_{};
  /// Replicas that belong to no service and are warming up, by name.
  std::map<std::string, WarmUp> warm_ups_;
};

}  // namespace mosskeel
