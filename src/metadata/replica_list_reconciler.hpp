#pragma once
// Compares the platform's list of replicas with the log.
#include "metadata/transformation.hpp"

namespace mosskeel {

/// Finds how the log differs from what was read of the replica list. Keeps the part of earlier readings that a single
/// one does not show. Owned by the poller, on its thread; nothing is on disk.
class ReplicaListReconciler {
 public:
  /// The change that the log lacks after a complete reading at `now`, or nothing.
  ///
  /// A replica is removed once two readings in a row lack it, since the list may shift between its pages. A replica
  /// that a restored zone left warming up stays so for `kMaxReplicaListLag`, until the list has had time to report it.
  std::optional<UpdateReplicas> reconcile(const Replicas& log, const std::vector<Replica>& listed, TimePoint now);
  /// Drops what is kept: another reader has been active meanwhile.
  void reset() { seen_.clear(); }

 private:
  struct Seen {
    /// When the replica's warm-up is expected to end.
    TimePoint expected_ready_at{};
    /// Since when the list calls ready what a restored zone left warming up; nothing where that is not so.
    std::optional<TimePoint> ready_after_restore_since;
    /// `since` of the log's record when it was last told a change. Still the same: the change was not committed.
    std::optional<Epoch> reported_against;
    /// Readings in a row that lack it.
    uint32_t missing = 0;
  };
  /// Whether the log differs from the list in one replica. `logged` is null where the log has it not, or otherwise.
  bool needs_update(Seen& seen, bool first_seen, const Replica* logged, const Replica& listed, TimePoint now);

  std::map<std::string, Seen> seen_;
};

}  // namespace mosskeel
