#pragma once
// When the next step of a sequence may be taken: proven by the daemons that hold the replicas now, not by those that
// leave.
#include "consensus/failure_detector.hpp"

namespace mosskeel::sequence_barrier {

/// The stores that a sequence adds to replica sets in which they are not yet.
std::set<DaemonId> newcomers(const Metadata& metadata, const Sequence& sequence);

/// Whether a majority of the daemons that a sequence concerns, lost ones left out, know the epoch of its last step.
bool is_known(const Metadata& metadata, const Sequence& sequence, const FailureDetector& detector, TimePoint now);

/// Whether each newcomer has reported lately that it holds on disk all that a read quorum of the old replica sets held
/// when the partitions began to move.
bool is_streamed(const Metadata& metadata, const Sequence& sequence, const FailureDetector& detector, TimePoint now);

/// Whether a newcomer is lost, so that the sequence can't finish.
bool has_lost_target(const Metadata& metadata, const Sequence& sequence);

}  // namespace mosskeel::sequence_barrier
