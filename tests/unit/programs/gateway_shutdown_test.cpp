// When a gateway that was told to leave may stop.
#include <catch2/catch.hpp>

#include "programs/constants.hpp"
#include "programs/gateway_machine.hpp"
#include "replication/agent_machine.hpp"
#include "replication/constants.hpp"
#include "runtime/constants.hpp"

using namespace mosskeel;

namespace {

Identity gateway_identity() {
  return {{Incarnation{1}, Role::front, "z1", "10.0.0.1:1", "10.0.0.1:2", "", "machine-1"},
          {},
          0,
          99,
          kCommitAttemptTimeout};
}

/// Whether the machine stops by itself within this time.
template <class M>
bool stops(M& machine, Millis& now, Millis within) {
  for (auto end = now + within; now < end; now += kTickInterval)
    if (machine.tick(now).stop)
      return true;
  return false;
}

}  // namespace

TEST_CASE("a gateway that leaves does not stop while callers may have something under way") {
  Millis now = kProcessClockStart;
  GatewayMachine gateway(gateway_identity(), now);
  gateway.set_open_routing_sessions(1);
  gateway.begin_shutdown();
  CHECK_FALSE(stops(gateway, now, 10 * kShutdownGracePeriod));
  gateway.set_open_routing_sessions(0);
  CHECK_FALSE(stops(gateway, now, kShutdownGracePeriod));
  CHECK(stops(gateway, now, 10 * kTickInterval));
}

TEST_CASE("an agent that leaves outlives a gateway that is starved of its processor for a second") {
  Millis now = kProcessClockStart;
  auto id = gateway_identity();
  std::swap(id.self.address, id.self.agent_address);
  AgentMachine agent(id, now);
  agent.leave();
  Envelope beat{};
  beat.from = id.self.agent_address;
  beat.body = Heartbeat{gateway_identity().self, Epoch{}, 0, {}, 0, now, true, 0};
  agent.step(beat, now);
  CHECK_FALSE(stops(agent, now, 1500));
  CHECK(stops(agent, now, kAgentShutdownDelay));
}

TEST_CASE("an agent that leaves ends as soon as its gateway was started anew") {
  Millis now = kProcessClockStart;
  auto id = gateway_identity();
  std::swap(id.self.address, id.self.agent_address);
  AgentMachine agent(id, now);
  Envelope beat{};
  beat.from = id.self.agent_address;
  beat.body = Heartbeat{gateway_identity().self, Epoch{}, 0, {}, 0, now, true, 0};
  agent.step(beat, now);
  agent.leave();
  CHECK_FALSE(stops(agent, now, 3 * kTickInterval));
  auto newer = gateway_identity().self;
  newer.incarnation = Incarnation{2};
  beat.body = Heartbeat{newer, Epoch{}, 0, {}, 0, now, false, 0};
  agent.step(beat, now);
  CHECK(stops(agent, now, 2 * kTickInterval));
}
