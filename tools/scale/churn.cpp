// Experiments of what happens to a fleet: new gateways, restarts, a zone that fails, regions that are cut off.
#include <algorithm>

#include "consensus/constants.hpp"
#include "consensus/controller_machine.hpp"
#include "replication/constants.hpp"
#include "scale/experiments.hpp"
#include "scale/simulated_fleet.hpp"

namespace mosskeel::scale {
namespace {

/// Virtual time; a fleet that is not calm by then has failed.
constexpr Duration kCalmTimeout = 900000ms;
constexpr size_t kFailingZone = 1;

MetadataSnapshot controller_view(SimulatedFleet& fleet) {
  return fleet.process(ProcessKind::controller, 0).machine->view();
}

double encoded_bytes(const Metadata& metadata) {
  return static_cast<double>(codec::encode(metadata).size());
}

/// An agent and its gateway, which `fleet_processes` puts next to each other.
void stop_gateway(SimulatedFleet& fleet, size_t agent) {
  fleet.stop(agent);
  fleet.stop(agent + 1);
}

void start_gateway(SimulatedFleet& fleet, size_t agent) {
  fleet.start(agent, true);
  fleet.start(agent + 1, true);
}

/// Whether all running daemons are up and know the newest epoch, nothing is under way, and all gateways serve.
bool is_calm(SimulatedFleet& fleet) {
  auto view = controller_view(fleet);
  if (!view->sequences.empty() || !view->incoming_quorum_members.empty())
    return false;
  if (eligible_quorum_members(*view) != view->quorum_members)
    return false;
  for (const auto& [id, daemon] : view->directory) {
    if (daemon.state == DaemonState::registered || daemon.state == DaemonState::draining)
      return false;
  }
  for (const auto& process : fleet.processes()) {
    if (process.machine && process.known_epoch != view->epoch)
      return false;
  }
  return fleet.all_gateways_ready();
}

bool run_until_calm(SimulatedFleet& fleet) {
  return fleet.run_until(kCalmTimeout, [&] { return is_calm(fleet); });
}

/// The point from which the costs of what happened are counted.
struct Start {
  Epoch epoch;
  TimePoint time;
};

Start begin(SimulatedFleet& fleet) {
  return {.epoch = controller_view(fleet)->epoch, .time = fleet.now()};
}

/// What each process did in a second since the start.
void add_costs(Measurement& measurement, SimulatedFleet& fleet, const Start& start) {
  auto view = controller_view(fleet);
  auto seconds = as_seconds(fleet.now() - start.time);
  measurement.counts["epochs"] = static_cast<double>(view->epoch.value() - start.epoch.value());
  measurement.counts["seconds"] = seconds;
  for (auto kind : {ProcessKind::controller, ProcessKind::store, ProcessKind::agent}) {
    auto counters = fleet.sum(kind);
    auto processes = static_cast<double>(fleet.indices_of(kind).size());
    auto per_second = [&](auto amount) {
      return static_cast<double>(amount) / processes / seconds;
    };
    std::string prefix = name(kind);
    measurement.counts[prefix + ".out.byte"] = per_second(total(counters.sent).bytes);
    measurement.counts[prefix + ".in.byte"] = per_second(total(counters.received).bytes);
    measurement.counts[prefix + ".msg"] = per_second(counters.network().messages);
    measurement.times[prefix + ".core_percent"] = per_second(counters.cpu_nanoseconds) / 1e7;
  }
  measurement.counts["value.byte"] = encoded_bytes(*view);
  measurement.counts["directory"] = static_cast<double>(view->directory.size());
  add_failures(measurement, fleet);
}

/// Commits a change at one controller; whether it was acknowledged in time.
bool commit(SimulatedFleet& fleet, size_t controller, Transformation change, const std::string& id) {
  auto view = fleet.processes()[controller].machine->view();
  bool committed = false;
  fleet.on_local_message = [&](SimulatedProcess&, const Envelope& message) {
    auto* reply = std::get_if<CommitReply>(&message.body);
    if (reply && reply->id == id && reply->outcome == CommitOutcome::committed)
      committed = true;
  };
  Envelope message{};
  message.from = "local:" + id;
  message.cluster = view->cluster;
  message.epoch = view->epoch;
  message.body = Commit{.id = id, .change = std::move(change), .known_epoch = view->epoch};
  fleet.deliver_locally(controller, std::move(message));
  fleet.run_until(kCommitAttemptTimeout * 2, [&] { return committed; });
  fleet.on_local_message = nullptr;
  return committed;
}

/// Commits so many changes of the first cell's budget; how many were acknowledged.
int commit_budget_changes(SimulatedFleet& fleet, size_t controller, int count) {
  int acknowledged = 0;
  for (int number = 0; number < count; ++number) {
    auto view = fleet.processes()[controller].machine->view();
    auto configuration = view->configuration;
    configuration.cells[0].budget += 1;
    ApplyConfiguration change{.base = view->revision, .configuration = configuration, .revision = Revision{}};
    if (commit(fleet, controller, change, "cut-" + std::to_string(number)))
      ++acknowledged;
  }
  return acknowledged;
}

/// The index of the controller that supervises; the first one where none does.
size_t supervisor(SimulatedFleet& fleet) {
  for (auto index : fleet.indices_of(ProcessKind::controller)) {
    if (static_cast<ControllerMachine&>(*fleet.processes()[index].machine).is_supervisor(fleet.now()))
      return index;
  }
  return 0;
}

std::vector<size_t> processes_in_zone(SimulatedFleet& fleet, size_t zone) {
  std::vector<size_t> indices;
  for (size_t index = 0; index < fleet.processes().size(); ++index) {
    if (fleet.processes()[index].spec.zone == zone)
      indices.push_back(index);
  }
  return indices;
}

/// Whether the controllers know that all these processes are gone. Agents are not in the directory.
bool all_down(SimulatedFleet& fleet, const std::vector<size_t>& indices) {
  auto view = controller_view(fleet);
  for (auto index : indices) {
    const auto& spec = fleet.processes()[index].spec;
    if (spec.kind == ProcessKind::agent)
      continue;
    auto* daemon = view->find(spec.identity.self.incarnation);
    if (!daemon || (daemon->state != DaemonState::down && daemon->state != DaemonState::left))
      return false;
  }
  return true;
}

size_t count_ready_gateways(SimulatedFleet& fleet) {
  size_t ready = 0;
  for (auto index : fleet.indices_of(ProcessKind::gateway)) {
    if (static_cast<GatewayMachine&>(*fleet.processes()[index].machine).ready(fleet.now()))
      ++ready;
  }
  return ready;
}

}  // namespace

Measurement new_gateway(const Plan& plan, uint64_t seed, double size) {
  Measurement measurement{.experiment = "newcomer", .size = size, .seed = seed, .counts = {}, .times = {}};
  SimulatedFleet fleet(plan, seed);
  fleet.run(kSettlingTime);
  auto agent = fleet.indices_of(ProcessKind::agent).front();
  stop_gateway(fleet, agent);
  run_until_calm(fleet);
  fleet.reset_counters();
  auto start = begin(fleet);
  start_gateway(fleet, agent);
  const auto& process = fleet.processes()[agent];
  fleet.run_until(kCalmTimeout, [&] { return process.known_epoch.value() > 0; });
  measurement.counts["value_after.ms"] = as_milliseconds(fleet.now() - start.time);
  run_until_calm(fleet);
  for (const auto& [kind, traffic] : process.counters.received) {
    measurement.counts["in." + kind + ".msg"] = static_cast<double>(traffic.messages);
    measurement.counts["in." + kind + ".byte"] = static_cast<double>(traffic.bytes);
  }
  auto received = static_cast<double>(total(process.counters.received).bytes);
  add_costs(measurement, fleet, start);
  measurement.counts["in.byte"] = received;
  measurement.counts["values_received"] = received / encoded_bytes(*controller_view(fleet));
  return measurement;
}

Measurement gateway_restarts(const Plan& plan, int count, uint64_t seed, double size) {
  Measurement measurement{.experiment = "restarts", .size = size, .seed = seed, .counts = {}, .times = {}};
  SimulatedFleet fleet(plan, seed);
  fleet.run(kSettlingTime);
  fleet.reset_counters();
  auto agents = fleet.indices_of(ProcessKind::agent);
  auto start = begin(fleet);
  auto bytes_before = encoded_bytes(*controller_view(fleet));
  std::vector<Duration> durations;
  bool calm = true;
  for (int number = 0; number < count && calm; ++number) {
    auto agent = agents[static_cast<size_t>(number) % agents.size()];
    stop_gateway(fleet, agent);
    fleet.run(kHeartbeatInterval);
    auto started = fleet.now();
    start_gateway(fleet, agent);
    calm = run_until_calm(fleet);
    durations.push_back(fleet.now() - started);
  }
  std::sort(durations.begin(), durations.end());
  add_costs(measurement, fleet, start);
  auto done = static_cast<double>(durations.size());
  auto& counts = measurement.counts;
  counts["done"] = done;
  counts["one.ms.p50"] = as_milliseconds(durations[durations.size() / 2]);
  counts["one.ms.max"] = as_milliseconds(durations.back());
  counts["epochs.one"] = counts["epochs"] / done;
  counts["value.byte.one"] = (counts["value.byte"] - bytes_before) / done;
  return measurement;
}

Measurement zone_failure(const Plan& plan, uint64_t seed, double size) {
  Measurement measurement{.experiment = "zone", .size = size, .seed = seed, .counts = {}, .times = {}};
  SimulatedFleet fleet(plan, seed);
  fleet.run(kSettlingTime);
  fleet.reset_counters();
  auto failing = processes_in_zone(fleet, kFailingZone);
  auto start = begin(fleet);
  for (auto index : failing)
    fleet.stop(index);
  auto& counts = measurement.counts;
  counts["all_down"] = fleet.run_until(kCalmTimeout, [&] { return all_down(fleet, failing); });
  counts["down.ms"] = as_milliseconds(fleet.now() - start.time);
  run_until_calm(fleet);
  auto restarted = begin(fleet);
  counts["daemons"] = static_cast<double>(failing.size());
  counts["epochs.down"] = static_cast<double>(restarted.epoch.value() - start.epoch.value());
  for (auto index : failing)
    fleet.start(index, true);
  counts["back"] = run_until_calm(fleet);
  counts["back.ms"] = as_milliseconds(fleet.now() - restarted.time);
  add_costs(measurement, fleet, start);
  return measurement;
}

Measurement region_partition(const Plan& plan, int changes, uint64_t seed, double size) {
  Measurement measurement{.experiment = "region", .size = size, .seed = seed, .counts = {}, .times = {}};
  SimulatedFleet fleet(plan, seed);
  fleet.run(kSettlingTime);
  fleet.reset_counters();
  auto start = begin(fleet);
  fleet.is_cut = [](const SimulatedProcess& sender, const SimulatedProcess& receiver) {
    return sender.spec.region != receiver.spec.region;
  };
  fleet.run(kIsolatedHeartbeatTimeout * 2);
  auto& counts = measurement.counts;
  auto ready = count_ready_gateways(fleet);
  counts["serving"] = static_cast<double>(ready);
  counts["not_serving"] = static_cast<double>(fleet.indices_of(ProcessKind::gateway).size() - ready);
  auto controller = supervisor(fleet);
  counts["acknowledged"] = commit_budget_changes(fleet, controller, changes);
  counts["changes"] = changes;
  auto epoch = fleet.processes()[controller].machine->view()->epoch;
  counts["cut.epochs"] = static_cast<double>(epoch.value() - start.epoch.value());
  auto healed = fleet.now();
  fleet.is_cut = nullptr;
  counts["back"] = run_until_calm(fleet);
  counts["back.ms"] = as_milliseconds(fleet.now() - healed);
  add_costs(measurement, fleet, start);
  return measurement;
}

}  // namespace mosskeel::scale
