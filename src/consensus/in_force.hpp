#pragma once
// When a controller may acknowledge an epoch.
#include "consensus/failure_detector.hpp"

namespace mosskeel {

/// Which acknowledgements `epoch` lacks to be in force, as text for operators; empty once it is in force.
///
/// An epoch is in force when a majority of the core, a majority of the fleet's quorum members or of the stores among
/// them, and every controller and store in contact has it. A gateway in contact was answered within the last 2 s by a
/// majority of the core, or by majorities of both the quorum members and their stores, so by one that knows the epoch.
/// Lost gateways, however many, hold nothing up. `self` is the controller that asks, which holds `metadata`.
std::string missing_acknowledgements(const Metadata& metadata, Incarnation self, const FailureDetector& detector,
                                     Epoch epoch, TimePoint now);

}  // namespace mosskeel
