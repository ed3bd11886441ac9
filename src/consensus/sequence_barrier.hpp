#pragma once
// Decides when the next step of a sequence may be taken, from the reports of the daemons that hold the replicas now,
// not of those that leave.
#include "consensus/failure_detector.hpp"

namespace mosskeel::sequence_barrier {

/// The stores that a sequence adds to replica sets.
std::set<DaemonId> new_stores(const Metadata& metadata, const Sequence& sequence);

/// Whether a majority of the daemons involved in a sequence, not counting lost ones, know the epoch of its last step.
bool last_step_is_known(const Metadata& metadata, const Sequence& sequence, const FailureDetector& detector,
                        TimePoint now);

/// Whether each new store has recently reported that it has on disk everything that a read quorum of the old replica
/// sets held when the partitions began to move.
bool histories_are_streamed(const Metadata& metadata, const Sequence& sequence, const FailureDetector& detector,
                            TimePoint now);

/// Whether a new store is lost, so that the sequence cannot finish.
bool has_lost_target(const Metadata& metadata, const Sequence& sequence);

}  // namespace mosskeel::sequence_barrier
