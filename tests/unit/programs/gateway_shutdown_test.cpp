// Tests when the state machine of a gateway stops after a shutdown has started.
#include "programs/constants.hpp"
#include "programs/gateway_machine.hpp"
#include "runtime/constants.hpp"
#include "runtime/settings.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

namespace {

Identity unregistered_gateway() {
  Identity identity{};
  identity.self = {Incarnation{1}, Role::gateway, "z1", "10.0.0.1:1", "10.0.0.1:2", "", "machine-1"};
  identity.random_seed = 99;
  return identity;
}

/// Advances the time by `duration`. Returns whether the machine stops by itself meanwhile.
bool stops_within(GatewayMachine& gateway, TimePoint& now, Duration duration) {
  for (auto end = now + duration; now < end; now += kTickInterval) {
    if (gateway.tick(now).stop)
      return true;
  }
  return false;
}

}  // namespace

TEST_CASE("GatewayMachine does not stop while the routing thread has open sessions") {
  TimePoint now = kProcessClockStart;
  GatewayMachine gateway(unregistered_gateway(), now);
  gateway.set_open_routing_sessions(1);

  gateway.begin_shutdown(ShutdownLimits::begin(now, kDefaultShutdownGrace));

  CHECK_FALSE(stops_within(gateway, now, 10 * kShutdownGracePeriod));

  gateway.set_open_routing_sessions(0);

  CHECK_FALSE(stops_within(gateway, now, kShutdownGracePeriod));
  CHECK(stops_within(gateway, now, 10 * kTickInterval));
}

// Guards against a gateway that is killed at the end of the grace because a caller does not read its response.
TEST_CASE("A gateway that shuts down stops before the end of the grace though sessions stay open") {
  TimePoint now = kProcessClockStart;
  const auto begun = now;
  GatewayMachine gateway(unregistered_gateway(), now);
  gateway.set_open_routing_sessions(1);
  gateway.begin_shutdown(ShutdownLimits::begin(now, kDefaultShutdownGrace));

  REQUIRE(stops_within(gateway, now, kDefaultShutdownGrace));

  CHECK(now - begun > kDefaultShutdownGrace - kShutdownMargin);
  CHECK(now - begun < kDefaultShutdownGrace);
}
