#pragma once
// Decides when a controller may acknowledge an epoch.
#include "consensus/failure_detector.hpp"

namespace mosskeel {

/// Which acknowledgements `epoch` still lacks to be in force, as text for operators; empty once it is in force.
///
/// An epoch is in force when it is known to a majority of the core, to a majority of the fleet's quorum members or of
/// the stores among them, and to every controller and store in contact. A gateway in contact has been answered within
/// the last 2 s by a majority of the core, or by majorities of both the quorum members and their stores, and so by at
/// least one daemon that knows the epoch. Lost gateways, in any number, do not delay acknowledgement. `self` is the
/// calling controller, which has `metadata`.
std::string missing_acknowledgements(const Metadata& metadata, Incarnation self, const FailureDetector& detector,
                                     Epoch epoch, TimePoint now);

}  // namespace mosskeel
