#pragma once
// Decides when joins, drains and repairs begin, when their next steps may be taken, and when they are cancelled.
#include "consensus/majority_observation.hpp"

namespace mosskeel {

/// Decides the next change of a sequence (a join, drain or repair of a daemon's partitions). The sequences themselves
/// are stored in the metadata log; this class only tracks how long each has waited. Owned by `Supervisor`.
class SequenceCoordinator {
 public:
  SequenceCoordinator(Outbox& outbox, const MetadataLog& metadata_log, const FailureDetector& detector,
                      const MajorityObservation& majority)
      : outbox_(outbox), metadata_log_(metadata_log), detector_(detector), majority_(majority) {}

  std::optional<Transformation> next_change(TimePoint now);
  /// Restarts all waiting times, because another controller may take steps in the meantime.
  void on_lease_lost() { barriers_.clear(); }

 private:
  /// Since when the step after this epoch has been waiting.
  struct Barrier {
    Epoch last_step_epoch{};
    TimePoint since{};
  };

  std::optional<Transformation> advance_sequence(TimePoint now);
  std::optional<Transformation> begin_join(TimePoint now) const;
  std::optional<Transformation> resume_drain(TimePoint now) const;
  std::optional<Transformation> begin_repair(TimePoint now);
  std::optional<Transformation> forget_store(TimePoint now) const;
  bool barrier_reached(const Sequence& sequence, TimePoint now) const;
  std::string blocking_reason(const Sequence& sequence, TimePoint now);
  bool is_backing_off(DaemonId id, TimePoint now) const;
  bool any_store_suspected(TimePoint now) const;
  bool drain_is_possible(const Daemon& store) const;
  bool repair_is_due(const Daemon& store, TimePoint now) const;
  Duration repair_delay(DaemonId id) const;
  size_t count_lost_replicas(const Partition& partition) const;

  Outbox& outbox_;
  const MetadataLog& metadata_log_;
  const FailureDetector& detector_;
  const MajorityObservation& majority_;
  std::map<DaemonId, Barrier> barriers_;
  /// The earliest time at which a daemon whose sequence was cancelled may begin another one.
  std::map<DaemonId, TimePoint> retry_at_;
  /// How many repairs have begun for each store; a flapping store is repaired less and less often.
  std::map<DaemonId, uint32_t> repairs_begun_;
};

}  // namespace mosskeel
