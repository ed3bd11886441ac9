// When an agent that shuts down stops: not before its gateway, which needs the agent to reach the core.
#include "replication/agent_machine.hpp"
#include "replication/constants.hpp"
#include "runtime/constants.hpp"
#include "runtime/settings.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

namespace {

constexpr const char* kGatewayAddress = "10.0.0.1:1";
constexpr const char* kAgentAddress = "10.0.0.1:2";

DaemonInfo gateway_of_incarnation(uint64_t incarnation) {
  return {Incarnation{incarnation}, Role::gateway, "z1", kGatewayAddress, kAgentAddress, "", "machine-1"};
}

Identity agent_identity() {
  Identity identity{};
  identity.self = {Incarnation{1}, Role::gateway, "z1", kAgentAddress, kGatewayAddress, "", "machine-1"};
  identity.random_seed = 99;
  return identity;
}

Envelope heartbeat_of(const DaemonInfo& gateway, bool is_shutting_down, TimePoint now) {
  Heartbeat heartbeat{};
  heartbeat.self = gateway;
  heartbeat.sent = to_milliseconds(now);
  heartbeat.leaving = is_shutting_down;
  Envelope envelope{};
  envelope.from = kGatewayAddress;
  envelope.body = heartbeat;
  return envelope;
}

/// Advances time; whether the agent stops by itself within `duration`.
bool stops_within(AgentMachine& agent, TimePoint& now, Duration duration) {
  for (auto end = now + duration; now < end; now += kTickInterval) {
    if (agent.tick(now).stop)
      return true;
  }
  return false;
}

}  // namespace

TEST_CASE("An agent that shuts down keeps running while its gateway gets no CPU time for over a second") {
  TimePoint now = kProcessClockStart;
  AgentMachine agent(agent_identity(), now);
  agent.leave(ShutdownLimits::begin(now, kDefaultShutdownGrace));

  agent.step(heartbeat_of(gateway_of_incarnation(1), true, now), now);

  CHECK_FALSE(stops_within(agent, now, 1500ms));
  CHECK(stops_within(agent, now, kAgentShutdownDelay));
}

TEST_CASE("An agent that shuts down stops as soon as its gateway has restarted") {
  TimePoint now = kProcessClockStart;
  AgentMachine agent(agent_identity(), now);
  agent.step(heartbeat_of(gateway_of_incarnation(1), true, now), now);
  agent.leave(ShutdownLimits::begin(now, kDefaultShutdownGrace));

  CHECK_FALSE(stops_within(agent, now, 3 * kTickInterval));

  agent.step(heartbeat_of(gateway_of_incarnation(2), false, now), now);

  CHECK(stops_within(agent, now, 2 * kTickInterval));
}

// Guards against the agent being killed at the end of the grace, together with a gateway that uses all of it.
TEST_CASE("An agent that shuts down stops before the end of the grace though its gateway still runs") {
  TimePoint now = kProcessClockStart;
  const auto began = now;
  AgentMachine agent(agent_identity(), now);
  agent.leave(ShutdownLimits::begin(now, kDefaultShutdownGrace));

  bool has_stopped = false;
  while (!has_stopped && now < began + kDefaultShutdownGrace) {
    agent.step(heartbeat_of(gateway_of_incarnation(1), true, now), now);
    has_stopped = stops_within(agent, now, kHeartbeatInterval);
  }

  CHECK(has_stopped);
  CHECK(now - began > kDefaultShutdownGrace - kShutdownMargin);
  CHECK(now - began < kDefaultShutdownGrace);
}
