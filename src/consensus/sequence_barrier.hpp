#pragma once
// The proof that places have changed hands: the word of those who hold the copies now, not of those who leave.
#include "consensus/failure_detector.hpp"

namespace mosskeel::sequence_barrier {

/// The stores that a sequence brings into sets in which they are not yet.
std::set<DaemonId> newcomers(const Metadata& metadata, const Sequence& sequence);

/// Whether a majority of those whom a sequence touches, lost ones left out, know the epoch of its last step.
bool is_known(const Metadata& metadata, const Sequence& sequence, const FailureDetector& detector, Millis now);

/// Whether each newcomer says, lately and of the epoch at which the places began to move, that it holds on disk all
/// that a read quorum of the old sets held then.
bool is_streamed(const Metadata& metadata, const Sequence& sequence, const FailureDetector& detector, Millis now);

/// Whether a newcomer is lost, so that the sequence can't end.
bool has_lost_target(const Metadata& metadata, const Sequence& sequence);

/// Which partitions a store may not be taken from now, since a member of their sets is lost or silent; empty if none.
std::string endangered(const Metadata& metadata, const FailureDetector& detector, Millis now);

}  // namespace mosskeel::sequence_barrier
