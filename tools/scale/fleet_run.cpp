#include "scale/fleet_run.hpp"

#include <algorithm>
#include <cstdio>
#include <sstream>
#include <thread>

#include "base/json.hpp"
#include "base/log.hpp"
#include "replication/constants.hpp"

namespace mosskeel::scale {
namespace {

constexpr int kExitCannotStart = 2;
/// Bytes; smaller tables of the metadata are not recorded.
constexpr size_t kLeastRecordedTable = 1000;

local_cluster::Plan real_fleet_plan(const FleetOptions& options) {
  local_cluster::Plan plan;
  plan.controllers = options.plan.controllers;
  plan.gateways = kRealGateways;
  plan.stores = kRealStores;
  plan.models = 0;
  plan.apps = 0;
  plan.zones = options.plan.zones;
  plan.folder = options.output_folder + "/data";
  plan.program_folder = options.program_folder;
  plan.first_port = options.first_port;
  return plan;
}

/// The value below which this share of the sorted values lies.
double quantile(const std::vector<double>& sorted, double share) {
  auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<size_t>(share * last)];
}

}  // namespace

void sleep_for(Duration duration) {
  std::this_thread::sleep_for(duration);
}

FleetRun::FleetRun(const FleetOptions& options)
    : options_(options),
      real_fleet_(real_fleet_plan(options)),
      client_(options),
      csv_(options.output_folder + "/fleet.csv"),
      text_(options.output_folder + "/fleet.txt") {
  csv_ << "step,figure,value\n";
}

int FleetRun::run() {
  if (auto errors = start(); !errors.empty()) {
    fail(to_string(errors));
    return kExitCannotStart;
  }
  found_and_grow();
  apply_first_configuration();
  measure_at_rest("rest");
  measure_changes();
  add_new_gateway();
  fail_zone();
  restart_gateways();
  cut_region();
  measure_at_rest("rest_after");
  check_values();
  record("run", "broken_invariants", broken_invariants_);
  return broken_invariants_ ? 1 : 0;
}

Errors FleetRun::start() {
  if (auto errors = real_fleet_.start_all(); !errors.empty())
    return errors;
  if (auto errors = client_.open(); !errors.empty())
    return errors;
  auto hollow_options = options_;
  hollow_options.plan.daemons = hollow_daemons();
  for (int first = 0; first < hollow_daemons(); first += options_.daemons_per_process)
    hollow_processes_.push_back(std::make_unique<HollowProcess>(hollow_options, first));
  return {};
}

void FleetRun::record(const std::string& step, const std::string& figure, double value) {
  csv_ << step << "," << figure << "," << value << std::endl;
  text_ << step << ": " << figure << " " << value << std::endl;
  printf("%s: %s %g\n", step.c_str(), figure.c_str(), value);
  fflush(stdout);
}

void FleetRun::fail(const std::string& reason) {
  ++broken_invariants_;
  text_ << "BROKEN " << reason << std::endl;
  printf("BROKEN %s\n", reason.c_str());
}

bool FleetRun::is_calm(size_t daemons) {
  auto view = client_.view();
  if (!view->cluster || !view->sequences.empty() || !view->incoming_quorum_members.empty())
    return false;
  if (eligible_quorum_members(*view) != view->quorum_members)
    return false;
  size_t up = 0;
  for (const auto& [id, daemon] : view->directory) {
    if (daemon.state == DaemonState::registered || daemon.state == DaemonState::draining)
      return false;
    up += daemon.state == DaemonState::up;
  }
  return up == daemons;
}

Duration FleetRun::wait_until_calm(const std::string& step, size_t daemons) {
  auto begun = machine_now();
  while (!is_calm(daemons)) {
    if (machine_now() - begun > kFleetCalmTimeout) {
      fail(step + ": the fleet is not calm");
      break;
    }
    sleep_for(kFleetPollInterval);
  }
  return machine_now() - begun;
}

void FleetRun::found_and_grow() {
  auto daemons = static_cast<size_t>(options_.plan.controllers) + kRealStores + kRealGateways;
  auto begun = machine_now();
  record("founding", "real.ms", as_milliseconds(wait_until_calm("founding", daemons)));
  for (auto& process : hollow_processes_) {
    process->execute_for_all("start");
    daemons += static_cast<size_t>(process->daemon_count());
    auto duration = wait_until_calm("founding", daemons);
    record("founding", "to_" + std::to_string(daemons) + ".ms", as_milliseconds(duration));
  }
  record("founding", "ms", as_milliseconds(machine_now() - begun));
  record("founding", "epochs", static_cast<double>(client_.view()->epoch.value()));
}

void FleetRun::apply_first_configuration() {
  auto replicas = client_.commit(UpdateReplicas{.updated = make_replicas(options_.plan), .removed = {}});
  if (!replicas.committed)
    fail("the list of replicas: " + replicas.reason);
  record("configuration", "replicas.ack.ms", as_milliseconds(replicas.duration()));
  auto configuration = make_configuration(options_.plan);
  auto applied = client_.commit(
      ApplyConfiguration{.base = client_.view()->revision, .configuration = configuration, .revision = Revision{}});
  if (!applied.committed)
    fail("the first configuration: " + applied.reason);
  record("configuration", "configuration.ack.ms", as_milliseconds(applied.duration()));
  sleep_for(kIsolationTimeout);
  for (const auto& [table, bytes] : encoded_sizes(*client_.view())) {
    if (bytes > kLeastRecordedTable)
      record("configuration", "bytes." + table, static_cast<double>(bytes));
  }
  record("configuration", "bytes.json", static_cast<double>(json::write(configuration).dump().size()));
}

double FleetRun::messages_sent_by_hollow_daemons() {
  double all = 0;
  for (auto& process : hollow_processes_) {
    std::istringstream state(process->execute("state"));
    double sent = 0;
    state >> sent;
    all += sent;
  }
  return all;
}

void FleetRun::measure_at_rest(const std::string& step) {
  std::map<std::string, ProcessUsage> usage_before;
  for (const auto& process : real_fleet_.list())
    usage_before[process.name] = process_usage(process.pid);
  auto sent_before = messages_sent_by_hollow_daemons();
  auto begun = machine_now();
  sleep_for(kRestWindow);
  auto seconds = as_seconds(machine_now() - begun);
  auto sent = messages_sent_by_hollow_daemons() - sent_before;
  record(step, "hollow.messages_out_each_a_second", sent / seconds / static_cast<double>(hollow_daemons()));
  for (const auto& process : real_fleet_.list()) {
    auto usage = process_usage(process.pid);
    auto cpu_seconds = usage.cpu_seconds - usage_before[process.name].cpu_seconds;
    record(step, process.name + ".core_percent", cpu_seconds / seconds * 100);
    record(step, process.name + ".rss_mb", usage.resident_megabytes);
  }
  double hollow_megabytes = 0;
  for (const auto& process : hollow_processes_)
    hollow_megabytes += process_usage(process->pid()).resident_megabytes;
  record(step, "hollow.rss_mb.all", hollow_megabytes);
}

std::vector<double> FleetRun::wait_until_known(Epoch epoch, TimePoint begun) {
  auto deadline = machine_now() + kFleetCalmTimeout / 10;
  std::vector<double> durations;
  while (true) {
    durations.clear();
    bool all_know = true;
    for (auto& process : hollow_processes_) {
      std::istringstream times(process->execute("known " + std::to_string(epoch.value())));
      for (int64_t time = 0; times >> time;) {
        all_know = all_know && time >= 0;
        durations.push_back(as_milliseconds(from_milliseconds(time) - begun));
      }
    }
    if (all_know)
      break;
    if (machine_now() > deadline) {
      fail("epoch " + std::to_string(epoch.value()) + " is not in force everywhere");
      break;
    }
    sleep_for(kFleetPollInterval);
  }
  std::sort(durations.begin(), durations.end());
  return durations;
}

CommitResult FleetRun::change_budget() {
  auto view = client_.view();
  auto configuration = view->configuration;
  configuration.cells[0].budget += 1;
  auto result = client_.commit(
      ApplyConfiguration{.base = view->revision, .configuration = configuration, .revision = Revision{}});
  if (result.committed)
    acknowledged_revision_ = std::max(acknowledged_revision_, client_.view()->revision);
  return result;
}

void FleetRun::measure_changes() {
  std::vector<double> in_force;
  std::vector<double> acknowledged;
  for (int number = 0; number < options_.changes; ++number) {
    auto result = change_budget();
    if (!result.committed) {
      fail("a change: " + result.reason);
      continue;
    }
    acknowledged.push_back(as_milliseconds(result.duration()));
    auto durations = wait_until_known(result.epoch, result.requested_at);
    in_force.insert(in_force.end(), durations.begin(), durations.end());
    sleep_for(kIsolationTimeout);
  }
  record_distribution("change", in_force);
  if (acknowledged.empty())
    return;
  std::sort(acknowledged.begin(), acknowledged.end());
  record("change", "ack.ms.p50", acknowledged[acknowledged.size() / 2]);
  record("change", "ack.ms.max", acknowledged.back());
}

void FleetRun::record_distribution(const std::string& step, std::vector<double> durations) {
  if (durations.empty())
    return;
  std::sort(durations.begin(), durations.end());
  record(step, "in_force.samples", static_cast<double>(durations.size()));
  for (auto share : {0.5, 0.95, 0.99, 1.0}) {
    auto percent = std::to_string(static_cast<int>(share * 100));
    record(step, "in_force.ms.p" + percent, quantile(durations, share));
  }
  Curve curve{.label = step, .points = {}};
  for (int percent = 0; percent <= 100; ++percent)
    curve.points.push_back({.x = quantile(durations, percent / 100.0), .y = static_cast<double>(percent)});
  curves_.push_back(curve);
  write_svg(options_.output_folder + "/in_force.svg",
            {.title = "A change in force at the hollow daemons",
             .x_axis = "ms after it was requested",
             .y_axis = "per cent of the daemons"},
            curves_);
}

int run_fleet(const FleetOptions& options) {
  start_log("scale");
  auto least_options = options;
  least_options.plan.daemons = std::max(options.plan.daemons, kRealStores + kRealGateways + 1);
  return FleetRun(least_options).run();
}

}  // namespace mosskeel::scale
