#include "simulation/scenario_run.hpp"

namespace mosskeel::sim {
namespace {

/// Documented limit: the fleet serves again this long after the last fault.
constexpr Duration kClosingLimit = 12000ms;
/// Time for requests in flight to finish after the final turn was served.
constexpr Duration kClosingPause = 1000ms;
/// Fewer successes than this during a fault count as an outage.
constexpr uint64_t kMinSuccesses = 5;
/// The outcome of a commit is reported at most this long after its timeout.
constexpr Duration kTimeoutMargin = 100ms;
/// How long a gateway is down in a restart.
constexpr Duration kGatewayRestart = 100ms;
/// Longer than the limit of any request.
constexpr Duration kRequestLimit = 30000ms;
/// Tokens that one turn may use.
constexpr uint64_t kTurnLimit = 10;

}  // namespace

ScenarioRun::ScenarioRun(uint64_t seed, FleetSize size, uint64_t budget)
    : world(seed, size), callers(world, size.models, size.apps, budget, kTurnLimit) {}

std::string ScenarioRun::any(Kind kind) {
  auto names = world.names(kind);
  return names[world.next_random() % names.size()];
}

std::string ScenarioRun::any_store_except(const std::string& excluded) {
  auto store = any(Kind::store);
  while (store == excluded)
    store = any(Kind::store);
  return store;
}

void ScenarioRun::close() {
  recover_everything();
  auto turns = std::make_shared<ClosingTurns>();
  start_turns_until_served(turns);
  if (!world.until(kClosingLimit, [&] { return turns->served; }))
    world.fail("not serving 12 s after the last fault");
  world.run(kClosingPause);
  turns->over = true;
  callers.check_at_end();
}

void ScenarioRun::recover_everything() {
  world.heal();
  world.net.loss = 0;
  world.net.twice = 0;
  for (const auto& name : world.all_names()) {
    world.wake(name);
    world.node(name).disk.slow = {};
    if (!world.node(name).machine)
      world.start(name);
  }
  for (auto& [name, replica] : callers.replicas) {
    replica.up = true;
    replica.fault = ReplicaFault::none;
    replica.fault_every = 0;
  }
}

/// Starts new programs one after the other until a turn succeeds.
void ScenarioRun::start_turns_until_served(const std::shared_ptr<ClosingTurns>& turns) {
  if (turns->over)
    return;
  callers.turn("closing" + std::to_string(world.next_random()), "main", [this, turns](const Turn& turn) {
    if (turn.success)
      turns->served = true;
    else
      start_turns_until_served(turns);
  });
}

void must_serve(ScenarioRun& run, Duration time, const char* during) {
  auto before = run.callers.totals.successes;
  run.world.run(time);
  auto served = run.callers.totals.successes - before;
  if (served < kMinSuccesses)
    run.world.fail(std::string("too few successes during ") + during + ": " + std::to_string(served));
}

uint64_t change_configuration(ScenarioRun& run, Duration timeout) {
  auto metadata = latest(run.world);
  if (!metadata || metadata->configuration.cells.empty())
    return 0;
  auto changed = metadata->configuration;
  changed.cells[0].retention_ms += 1;
  struct Outcome {
    uint64_t revision = 0;
    bool over = false;
  };
  auto outcome = std::make_shared<Outcome>();
  auto on_reply = [outcome, base = metadata->revision](const CommitReply& reply) {
    if (reply.outcome == CommitOutcome::committed)
      outcome->revision = base.value() + 1;
    outcome->over = true;
  };
  run.callers.commit(ApplyConfiguration{metadata->revision, changed}, on_reply, "", timeout);
  run.world.until(timeout + kTimeoutMargin, [=] { return outcome->over; });
  return outcome->revision;
}

void must_be_in_force(ScenarioRun& run, uint64_t revision, Duration within) {
  auto& world = run.world;
  auto is_in_force = [&] {
    for (const auto& name : world.names(Kind::gateway)) {
      const auto& machine = world.node(name).machine;
      if (machine && machine->view()->revision.value() < revision)
        return false;
    }
    return true;
  };
  if (!world.until(within, is_in_force))
    world.fail("revision " + std::to_string(revision) + " was acknowledged and is not in force");
}

bool has_no_sequences(World& world) {
  return latest(world)->sequences.empty();
}

void restart_gateways(World& world) {
  for (const auto& name : world.names(Kind::gateway)) {
    world.kill(name);
    world.run(kGatewayRestart);
    world.start(name);
  }
}

void power_off_all(World& world, const std::vector<std::string>& names) {
  for (const auto& name : names)
    world.power_off(name);
}

void start_all(World& world, const std::vector<std::string>& names) {
  for (const auto& name : names)
    world.start(name);
}

std::vector<std::string> names_in_zone(World& world, const std::string& zone) {
  std::vector<std::string> found;
  for (const auto& name : world.all_names())
    if (world.node(name).id.self.zone == zone)
      found.push_back(name);
  return found;
}

ProgramResponse send_request(ScenarioRun& run, ProgramRequest request, const std::string& gateway) {
  auto answer = std::make_shared<std::optional<ProgramResponse>>();
  request.attempt = "t" + std::to_string(run.world.next_random());
  run.callers.send(gateway, std::move(request), [answer](const Message& message) {
    if (const auto* response = std::get_if<ProgramResponse>(&message))
      *answer = *response;
  });
  run.world.until(kRequestLimit, [answer] { return answer->has_value(); });
  return answer->value_or(ProgramResponse{});
}

}  // namespace mosskeel::sim
