#pragma once
// The course of events in which most front machines are away while a large configuration is changed.
#include "soak/fleet_under_test.hpp"

namespace mosskeel::soak {

/// All fronts but one are killed, then frozen, then killed and started again and again, while the operator changes a
/// configuration of 0.8 MB. Those that return must serve what was configured meanwhile.
void play_absent_fronts(FleetUnderTest& fleet);

}  // namespace mosskeel::soak
