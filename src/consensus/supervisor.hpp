#pragma once
// What the holder of the supervisor lease decides: failures, the core's members, joins, drains, repairs.
#include "consensus/core_membership_policy.hpp"
#include "consensus/sequence_coordinator.hpp"

namespace mosskeel {

/// Commits one change after the other, the most urgent first, while this controller holds the supervisor lease.
///
/// Every change is an ordinary commit, so a supervisor that has lost its lease without knowing it can do no harm: its
/// changes are judged by the newest metadata. Owned by `ControllerMachine`; nothing of it is on disk.
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
  /// The next change may be committed once the one before is answered.
  void handle(const CommitReply& reply) {
    if (reply.id == pending_commit_)
      pending_commit_.clear();
  }

 private:
  /// Since when a replica, in its state of this epoch, is known to be warming up.
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
  /// The id of the commit under way, empty if none, and until when its reply is awaited.
  std::string pending_commit_;
  TimePoint pending_until_{};
  /// By the replica's name; of replicas that belong to no service.
  std::map<std::string, WarmUp> warm_ups_;
};

}  // namespace mosskeel
