#pragma once
// Fixed courses of events, each of which a fleet once did not bear.
#include <string>
#include <vector>

#include "soak/fleet_under_test.hpp"

namespace mosskeel::soak {

/// One course of events. It reports what the fleet breaks to the checker of the fleet's environment.
struct Scenario {
  std::string name;
  /// What it guards against, in one line.
  std::string guards_against;
  void (*play)(FleetUnderTest& fleet);
};

const std::vector<Scenario>& scenarios();

}  // namespace mosskeel::soak
