#pragma once
// When a controller may acknowledge an epoch.
#include "consensus/failure_detector.hpp"

namespace mosskeel {

/// Which acknowledgements `epoch` lacks to be in force, as text for operators; empty once it is in force.
///
/// An epoch is in force when a majority of the core, a majority of the fleet's quorum members, and every
/// controller and store in contact has it. A gateway in contact has asked one of these majorities within the last 2 s,
/// so it has met one that knows the epoch. `self` is the controller that asks, which holds `metadata`.
std::string missing_acknowledgements(const Metadata& metadata, Incarnation self, const FailureDetector& detector,
                                     Epoch epoch, TimePoint now);

}  // namespace mosskeel
