#pragma once
// Joins, drains and repairs: when one begins, when its next step may be taken, when it is cancelled.
#include "consensus/majority_observation.hpp"

namespace mosskeel {

/// Decides the next change of a sequence (a join, drain or repair of a daemon's partitions). The sequences themselves
/// are in the metadata log; here is only how long each has waited. Owned by `Supervisor`.
class SequenceCoordinator {
 public:
  SequenceCoordinator(Outbox& outbox, const MetadataLog& metadata_log, const FailureDetector& detector,
                      const MajorityObservation& majority)
      : outbox_(outbox), metadata_log_(metadata_log), detector_(detector), majority_(majority) {}

  std::optional<Transformation> next_change(TimePoint now);
  /// Another controller may have taken steps meanwhile: waiting times count anew.
  void on_lease_lost() { barriers_.clear(); }

 private:
  /// Since when the step after this epoch waits.
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
  /// Before this time a daemon whose sequence was cancelled begins no other.
  std::map<DaemonId, TimePoint> retry_at_;
  /// How many repairs of a store's partitions have begun, so that one that comes and goes causes fewer and fewer.
  std::map<DaemonId, uint32_t> repairs_begun_;
};

}  // namespace mosskeel
