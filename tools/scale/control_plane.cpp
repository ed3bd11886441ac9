// Experiments of the control plane: a fleet at rest, one change, the metadata value itself, choosing a replica.
#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <cstdio>

#include "base/json.hpp"
#include "programs/replica_selector.hpp"
#include "scale/experiments.hpp"
#include "scale/simulated_fleet.hpp"

namespace mosskeel::scale {
namespace {

/// Processor time of this thread that the action takes, in milliseconds.
double cpu_milliseconds(const std::function<void()>& action) {
  timespec begun;
  timespec ended;
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &begun);
  action();
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ended);
  auto seconds = static_cast<double>(ended.tv_sec - begun.tv_sec);
  auto nanoseconds = static_cast<double>(ended.tv_nsec - begun.tv_nsec);
  return seconds * 1e3 + nanoseconds / 1e6;
}

/// Processor time of one of `count` calls, in milliseconds.
double cpu_milliseconds_each(int count, const std::function<void(int)>& call) {
  auto all = cpu_milliseconds([&] {
    for (int number = 0; number < count; ++number)
      call(number);
  });
  return all / count;
}

void add_traffic(Measurement& measurement, const std::string& prefix, const Traffic& traffic, double divisor) {
  measurement.counts[prefix + ".msg"] = static_cast<double>(traffic.messages) / divisor;
  measurement.counts[prefix + ".byte"] = static_cast<double>(traffic.bytes) / divisor;
}

void add_traffic_by_kind(Measurement& measurement, const std::string& prefix, const TrafficByKind& traffic,
                         double divisor) {
  for (const auto& [kind, amount] : traffic)
    add_traffic(measurement, prefix + "." + kind, amount, divisor);
  add_traffic(measurement, prefix, total(traffic), divisor);
}

/// What each process of each kind does in a second.
void add_rates(Measurement& measurement, const SimulatedFleet& fleet, double seconds) {
  for (auto kind : kAllProcessKinds) {
    auto counters = fleet.sum(kind);
    auto divisor = static_cast<double>(fleet.indices_of(kind).size()) * seconds;
    std::string prefix = name(kind);
    add_traffic_by_kind(measurement, prefix + ".out", counters.sent, divisor);
    add_traffic_by_kind(measurement, prefix + ".in", counters.received, divisor);
    add_traffic_by_kind(measurement, prefix + ".loop", counters.machine_local, divisor);
    measurement.counts[prefix + ".journal.byte"] = static_cast<double>(counters.journal_bytes) / divisor;
    measurement.counts[prefix + ".syncs"] = static_cast<double>(counters.syncs) / divisor;
    measurement.times[prefix + ".core_percent"] = static_cast<double>(counters.cpu_nanoseconds) / 1e7 / divisor;
  }
}

/// Kinds of messages that travel all the time, whether anything changes or not.
bool is_background(const std::string& kind) {
  return kind == "heartbeat" || kind == "heartbeat-reply" || kind.starts_with("stream-partition") ||
         kind.starts_with("partition-checksum") || kind.starts_with("list-histories") || kind.starts_with("lease");
}

struct IdleCost {
  Traffic network;
  int64_t cpu_nanoseconds = 0;
};

std::map<ProcessKind, IdleCost> measure_idle(SimulatedFleet& fleet) {
  fleet.reset_counters();
  fleet.run(kMeasuringWindow);
  std::map<ProcessKind, IdleCost> idle;
  for (auto kind : kAllProcessKinds) {
    auto counters = fleet.sum(kind);
    idle[kind] = {.network = counters.network(), .cpu_nanoseconds = counters.cpu_nanoseconds};
  }
  return idle;
}

/// When a change was acknowledged, and when each gateway knew of it, after it was requested.
struct ChangeTimes {
  Duration acknowledged{};
  std::vector<Duration> in_force;

  /// In milliseconds; -1 where no gateway received the change.
  double quantile(double share) const {
    if (in_force.empty())
      return -1;
    auto last = static_cast<double>(in_force.size() - 1);
    return as_milliseconds(in_force[static_cast<size_t>(share * last)]);
  }
};

/// Commits a change of the first cell's budget and lets one measuring window pass.
ChangeTimes change_budget(SimulatedFleet& fleet, uint64_t seed) {
  auto view = fleet.process(ProcessKind::controller, 0).machine->view();
  auto configuration = view->configuration;
  if (!configuration.cells.empty())
    configuration.cells[0].budget += 1;
  Envelope commit{};
  commit.from = "local:operator";
  commit.cluster = view->cluster;
  commit.epoch = view->epoch;
  commit.body =
      Commit{.id = "operator-" + std::to_string(seed),
             .change = ApplyConfiguration{.base = view->revision, .configuration = configuration, .revision = {}},
             .known_epoch = view->epoch};
  ChangeTimes times;
  auto begun = fleet.now();
  fleet.on_gateway_epoch = [&](SimulatedProcess&, Epoch epoch) {
    if (epoch == next(view->epoch))
      times.in_force.push_back(fleet.now() - begun);
  };
  fleet.on_local_message = [&](SimulatedProcess&, const Envelope& message) {
    auto* reply = std::get_if<CommitReply>(&message.body);
    if (reply && reply->outcome == CommitOutcome::committed)
      times.acknowledged = fleet.now() - begun;
  };
  fleet.deliver_locally(0, std::move(commit));
  fleet.run(kMeasuringWindow);
  fleet.on_gateway_epoch = nullptr;
  fleet.on_local_message = nullptr;
  std::sort(times.in_force.begin(), times.in_force.end());
  return times;
}

/// What the change cost each process of a kind, beyond what it does at rest.
void add_change_cost(Measurement& measurement, const SimulatedFleet& fleet, ProcessKind kind, const IdleCost& idle) {
  auto counters = fleet.sum(kind);
  auto processes = static_cast<double>(fleet.indices_of(kind).size());
  std::string prefix = name(kind);
  for (const auto& [message_kind, traffic] : counters.sent) {
    if (!is_background(message_kind))
      add_traffic(measurement, prefix + ".out." + message_kind, traffic, processes);
  }
  auto more = [&](auto now, auto before) {
    return (static_cast<double>(now) - static_cast<double>(before)) / processes;
  };
  auto network = counters.network();
  measurement.counts[prefix + ".more.msg"] = more(network.messages, idle.network.messages);
  measurement.counts[prefix + ".more.byte"] = more(network.bytes, idle.network.bytes);
  measurement.counts[prefix + ".journal.byte"] = static_cast<double>(counters.journal_bytes) / processes;
  measurement.counts[prefix + ".syncs"] = static_cast<double>(counters.syncs) / processes;
  measurement.times[prefix + ".ms"] = more(counters.cpu_nanoseconds, idle.cpu_nanoseconds) / 1e6;
}

/// Memory and time of copies of the value.
void measure_copies(Measurement& measurement, const Metadata& metadata, int repetitions) {
  std::vector<Metadata> copies;
  copies.reserve(static_cast<size_t>(repetitions));
  auto before = mallinfo2().uordblks;
  measurement.times["copy.ms"] = cpu_milliseconds_each(repetitions, [&](int) { copies.push_back(metadata); });
  auto memory = static_cast<double>(mallinfo2().uordblks - before);
  measurement.counts["bytes.memory"] = memory / repetitions;
}

void measure_encoding(Measurement& measurement, const Metadata& metadata, int repetitions) {
  std::string bytes;
  measurement.times["encode.ms"] = cpu_milliseconds_each(repetitions, [&](int) { bytes = codec::encode(metadata); });
  measurement.times["decode.ms"] = cpu_milliseconds_each(repetitions, [&](int) { codec::decode<Metadata>(bytes); });
  measurement.times["digest.ms"] = cpu_milliseconds_each(repetitions, [&](int) { digest(bytes); });
}

void measure_searches(Measurement& measurement, const Metadata& metadata, int repetitions) {
  auto last_incarnation = metadata.directory.rbegin()->second.self.incarnation;
  measurement.times["find_daemon.ms"] =
      cpu_milliseconds_each(repetitions, [&](int) { metadata.find(last_incarnation); });
  if (metadata.configuration.cells.empty())
    return;
  auto last_cell = metadata.configuration.cells.back().name;
  measurement.times["find_cell.ms"] =
      cpu_milliseconds_each(repetitions, [&](int) { metadata.configuration.cell(last_cell); });
}

}  // namespace

void add_failures(Measurement& measurement, const SimulatedFleet& fleet) {
  measurement.counts["failures"] = static_cast<double>(fleet.failures.size());
  for (const auto& failure : fleet.failures)
    fprintf(stderr, "%s: %s\n", measurement.experiment.c_str(), failure.c_str());
}

Measurement fleet_at_rest(const Plan& plan, uint64_t seed, double size) {
  Measurement measurement{.experiment = "rest", .size = size, .seed = seed, .counts = {}, .times = {}};
  SimulatedFleet fleet(plan, seed);
  fleet.run(kSettlingTime);
  measurement.counts["fronts.ready"] = fleet.all_gateways_ready();
  fleet.reset_counters();
  fleet.run(kMeasuringWindow);
  add_rates(measurement, fleet, as_seconds(kMeasuringWindow));
  add_failures(measurement, fleet);
  return measurement;
}

Measurement configuration_change(const Plan& plan, uint64_t seed, double size) {
  Measurement measurement{.experiment = "change", .size = size, .seed = seed, .counts = {}, .times = {}};
  SimulatedFleet fleet(plan, seed);
  fleet.run(kSettlingTime);
  auto idle = measure_idle(fleet);
  fleet.reset_counters();
  auto times = change_budget(fleet, seed);
  measurement.counts["in_force.ms.p50"] = times.quantile(0.5);
  measurement.counts["in_force.ms.p99"] = times.quantile(0.99);
  measurement.counts["in_force.ms.max"] = times.quantile(1);
  measurement.counts["in_force.fronts"] = static_cast<double>(times.in_force.size());
  measurement.counts["acknowledged.ms"] = as_milliseconds(times.acknowledged);
  for (auto kind : kAllProcessKinds)
    add_change_cost(measurement, fleet, kind, idle[kind]);
  add_failures(measurement, fleet);
  return measurement;
}

Measurement metadata_value(const Plan& plan, uint64_t seed, double size) {
  constexpr int repetitions = 5;
  Measurement measurement{.experiment = "value", .size = size, .seed = seed, .counts = {}, .times = {}};
  auto metadata = metadata_at_rest(plan, fleet_processes(plan, seed));
  for (const auto& [field, bytes] : encoded_sizes(metadata))
    measurement.counts["bytes." + field] = static_cast<double>(bytes);
  ApplyConfiguration same_configuration{
      .base = metadata.revision, .configuration = metadata.configuration, .revision = Revision{}};
  Entry large_entry{.epoch = next(metadata.epoch), .commit_id = "op-1", .change = same_configuration};
  Entry small_entry{.epoch = next(metadata.epoch), .commit_id = "", .change = BeginQuorumChange{}};
  measurement.counts["bytes.entry"] = static_cast<double>(codec::encode(large_entry).size());
  measurement.counts["bytes.json"] = static_cast<double>(json::write(metadata.configuration).dump().size());
  measure_copies(measurement, metadata, repetitions);
  measurement.times["apply.configuration.ms"] =
      cpu_milliseconds_each(repetitions, [&](int) { (void)apply(metadata, large_entry); });
  measurement.times["apply.small.ms"] =
      cpu_milliseconds_each(repetitions, [&](int) { (void)apply(metadata, small_entry); });
  measure_encoding(measurement, metadata, repetitions);
  Daemon joining{.id = DaemonId{metadata.next_id},
                 .self = additional_gateway(plan, 1, seed).gateway.identity.self,
                 .state = DaemonState::registered,
                 .since = metadata.epoch};
  measurement.times["plan_join.ms"] = cpu_milliseconds([&] { placement::plan_join(metadata, joining); });
  measure_searches(measurement, metadata, repetitions);
  return measurement;
}

Measurement replica_selection(const Plan& plan, uint64_t seed, double size) {
  constexpr int repetitions = 10;
  Measurement measurement{.experiment = "selection", .size = size, .seed = seed, .counts = {}, .times = {}};
  auto metadata = metadata_at_rest(plan, fleet_processes(plan, seed));
  auto gateway = std::find_if(metadata.directory.begin(), metadata.directory.end(),
                              [](const auto& entry) { return entry.second.self.role == Role::gateway; });
  ReplicaSelector selector;
  ProgramRequest request{};
  request.cell = metadata.configuration.cells.at(0).name;
  request.route = "chat";
  request.kind = "model";
  ReplicaSelection selection;
  measurement.times["select_replica.ms"] = cpu_milliseconds_each(repetitions, [&](int number) {
    request.program = "p" + std::to_string(number);
    selection = selector.select(request, metadata, gateway->second, TimePoint{1ms});
  });
  measurement.counts["found"] = selection.any_eligible;
  return measurement;
}

std::string capacity_page_row(int daemons, uint64_t seed) {
  Plan plan;
  plan.daemons = daemons;
  plan.replicas = 20;
  plan.paths = 10;
  plan.cells = 10;
  auto rest = fleet_at_rest(plan, seed, daemons).counts;
  auto change = configuration_change(plan, seed, daemons).counts;
  char row[300];
  snprintf(row, sizeof row, "| %d | %.1f | %.0f | %.1f | %.0f | %.0f | %.0f | %.0f | %.0f |", daemons,
           rest["agent.out.msg"] + rest["agent.in.msg"], rest["agent.out.byte"] + rest["agent.in.byte"],
           rest["controller.out.msg"] + rest["controller.in.msg"],
           rest["controller.out.byte"] + rest["controller.in.byte"], change["agent.more.msg"],
           change["agent.more.byte"], change["in_force.ms.max"], change["acknowledged.ms"]);
  return row;
}

}  // namespace mosskeel::scale
