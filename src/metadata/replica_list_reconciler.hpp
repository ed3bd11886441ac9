#pragma once
// Compares the platform's replica list with the metadata log.
#include "metadata/transformation.hpp"

namespace mosskeel {

/// Computes how the log must change to match the replica list. Keeps state from earlier readings that a single reading
/// does not show. Owned by the poller and used on its thread; not persisted.
class ReplicaListReconciler {
 public:
  /// The change that brings the log up to date with a complete reading at `now`; empty if there is none.
  ///
  /// A replica is removed once two consecutive readings lack it, because the list may shift between its pages. A
  /// replica that was set to warming up by the restoration of its zone stays so for `kMaxReplicaListLag`, until the
  /// list has had time to report it.
  std::optional<UpdateReplicas> reconcile(const Replicas& log, const std::vector<Replica>& listed, TimePoint now);
  /// Discards the state of earlier readings; called when another reader has been active in the meantime.
  void reset() { tracked_.clear(); }

 private:
  struct TrackedReplica {
    /// When the replica's warm-up is expected to end.
    TimePoint expected_ready_at{};
    /// Since when the list has reported a replica as ready that is warming up after its zone was restored; otherwise
    /// empty.
    std::optional<TimePoint> ready_after_restore_since;
    /// `since` of the log's record when the last change was requested. While it is unchanged, that change has not been
    /// committed.
    std::optional<Epoch> reported_against;
    /// Number of consecutive readings that lack the replica.
    uint32_t missing = 0;
  };
  /// Whether the log must be updated for one replica. `logged` is null if the log lacks the replica, or has it with
  /// different properties other than health.
  bool needs_update(TrackedReplica& tracked, bool first_seen, const Replica* logged, const Replica& listed,
                    TimePoint now);

  std::map<std::string, TrackedReplica> tracked_;
};

}  // namespace mosskeel
