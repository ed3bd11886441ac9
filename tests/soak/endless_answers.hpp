#pragma once
// Back ends that send bytes without end, beside ordinary traffic.
#include "soak/fleet_under_test.hpp"

namespace mosskeel::soak {

/// Each form of an endless answer once to turns whose history is kept, and once to a kind of request, a status, a
/// number of requests and a reading speed that are drawn. Large answers that end are passed on whole, other callers are
/// served in time, and a service loses little to one replica of three that is faulty.
void play_endless_answers(FleetUnderTest& fleet);

/// The same while each gateway's machine has half a core.
void play_endless_answers_on_half_a_core(FleetUnderTest& fleet);

}  // namespace mosskeel::soak
