#include "scale/slopes.hpp"

#include <cstdio>
#include <ctime>
#include <fstream>

#include "scale/report.hpp"

namespace mosskeel::scale {
namespace {

/// The fleet of the capacity target, whatever else is measured.
constexpr int kTargetDaemons = 340;
constexpr int kTargetReplicas = 600;
constexpr int kRestartsOfARollout = 130;

/// A fleet in which only what is measured is large.
Plan base_plan() {
  Plan plan;
  plan.daemons = 40;
  plan.replicas = 20;
  plan.paths = 10;
  plan.cells = 10;
  return plan;
}

/// The base plan with one of its numbers replaced.
Plan plan_with(int Plan::*number, double value) {
  auto plan = base_plan();
  plan.*number = static_cast<int>(value);
  return plan;
}

struct Experiment {
  std::string name;
  std::vector<double> sizes;
  std::function<Measurement(double size, uint64_t seed)> run;
};
using Experiments = std::vector<Experiment>;
using PlanExperiment = Measurement (*)(const Plan& plan, uint64_t seed, double size);

/// An experiment on the base plan in which `number` takes the sizes.
Experiment experiment_over(const std::string& name, PlanExperiment measure, int Plan::*number,
                           std::vector<double> sizes) {
  auto run = [measure, number](double size, uint64_t seed) {
    return measure(plan_with(number, size), seed, size);
  };
  return {.name = name, .sizes = std::move(sizes), .run = run};
}

std::vector<double> fleet_sizes(int largest) {
  std::vector<double> sizes;
  for (auto size : {10.0, 40.0, 100.0, 200.0, 340.0}) {
    if (size <= largest)
      sizes.push_back(size);
  }
  return sizes;
}

const std::vector<double> kReplicaCounts{20, 200, 600};
const std::vector<double> kCellCounts{100, 1000, 18000};
const std::vector<double> kPathCounts{10, 200, 2000};

Experiments control_plane_experiments(int largest) {
  Experiment target{.name = "value.target", .sizes = {1}, .run = [](double size, uint64_t seed) {
                      Plan plan;
                      plan.remembered_commits = 4096;
                      return metadata_value(plan, seed, size);
                    }};
  return {
      experiment_over("rest.daemons", fleet_at_rest, &Plan::daemons, fleet_sizes(largest)),
      experiment_over("rest.replicas", fleet_at_rest, &Plan::replicas, kReplicaCounts),
      experiment_over("rest.cells", fleet_at_rest, &Plan::cells, kCellCounts),
      experiment_over("change.daemons", configuration_change, &Plan::daemons, fleet_sizes(largest)),
      experiment_over("change.cells", configuration_change, &Plan::cells, kCellCounts),
      experiment_over("change.paths", configuration_change, &Plan::paths, kPathCounts),
      experiment_over("value.daemons", metadata_value, &Plan::daemons, {10, 40, 100, 340}),
      experiment_over("value.replicas", metadata_value, &Plan::replicas, kReplicaCounts),
      experiment_over("value.cells", metadata_value, &Plan::cells, kCellCounts),
      experiment_over("value.paths", metadata_value, &Plan::paths, kPathCounts),
      experiment_over("value.slots", metadata_value, &Plan::partitions, {64, 256, 1024}),
      experiment_over("value.left", metadata_value, &Plan::departed_daemons, {0, 1000, 10000}),
      target,
  };
}

Experiments data_plane_experiments() {
  return {
      {.name = "selection.fronts",
       .sizes = {10, 100, 340},
       .run =
           [](double size, uint64_t seed) {
             auto plan = plan_with(&Plan::daemons, size);
             plan.replicas = kTargetReplicas;
             return replica_selection(plan, seed, size);
           }},
      {.name = "selection.replicas",
       .sizes = kReplicaCounts,
       .run =
           [](double size, uint64_t seed) {
             auto plan = plan_with(&Plan::replicas, size);
             plan.daemons = kTargetDaemons;
             return replica_selection(plan, seed, size);
           }},
      {.name = "turns.turns",
       .sizes = {1, 10, 50, 250},
       .run =
           [](double size, uint64_t seed) {
             return conversations(4, static_cast<int>(size), seed, size);
           }},
      {.name = "turns.programs",
       .sizes = {4, 40, 400},
       .run =
           [](double size, uint64_t seed) {
             return conversations(static_cast<int>(size), 10, seed, size);
           }},
      {.name = "histories.histories",
       .sizes = {100, 1000, 4000},
       .run =
           [](double size, uint64_t seed) {
             return stored_histories(static_cast<int>(size), 4, seed, size);
           }},
      {.name = "histories.turns",
       .sizes = {1, 10, 50},
       .run =
           [](double size, uint64_t seed) {
             return stored_histories(200, static_cast<int>(size), seed, size);
           }},
  };
}

Experiments churn_experiments(int largest) {
  auto rollout_size = static_cast<double>(std::min(largest, kTargetDaemons));
  return {
      experiment_over("newcomer.daemons", new_gateway, &Plan::daemons, fleet_sizes(largest)),
      experiment_over("newcomer.cells", new_gateway, &Plan::cells, kCellCounts),
      {.name = "restarts.daemons",
       .sizes = fleet_sizes(largest),
       .run =
           [](double size, uint64_t seed) {
             return gateway_restarts(plan_with(&Plan::daemons, size), 5, seed, size);
           }},
      {.name = "row_of_130_restarts",
       .sizes = {rollout_size},
       .run =
           [](double size, uint64_t seed) {
             auto plan = plan_with(&Plan::daemons, size);
             plan.replicas = kTargetReplicas;
             return gateway_restarts(plan, kRestartsOfARollout, seed, size);
           }},
      experiment_over("zone.daemons", zone_failure, &Plan::daemons, fleet_sizes(largest)),
      {.name = "region.daemons",
       .sizes = fleet_sizes(largest),
       .run =
           [](double size, uint64_t seed) {
             return region_partition(plan_with(&Plan::daemons, size), 5, seed, size);
           }},
  };
}

Experiments all_experiments(int largest) {
  auto all = control_plane_experiments(largest);
  for (auto& more : {data_plane_experiments(), churn_experiments(largest)})
    all.insert(all.end(), more.begin(), more.end());
  return all;
}

void write_charts(const std::string& folder, const std::vector<Measurement>& measurements) {
  auto curve = [&](const char* experiment, const char* figure, const char* label) {
    return Curve{.label = label, .points = points_of(measurements, experiment, figure)};
  };
  write_svg(folder + "/rest.svg",
            {.title = "A fleet at rest: bytes over the wire", .x_axis = "daemons", .y_axis = "bytes a second"},
            {curve("rest.daemons", "agent.out.byte", "front out"), curve("rest.daemons", "agent.in.byte", "front in"),
             curve("rest.daemons", "controller.out.byte", "controller out"),
             curve("rest.daemons", "controller.in.byte", "controller in")});
  write_svg(folder + "/change.svg",
            {.title = "One change of the configuration", .x_axis = "tenants in it", .y_axis = "bytes at one front"},
            {curve("change.cells", "agent.more.byte", "front, in and out")});
  write_svg(
      folder + "/turns.svg",
      {.title = "A turn late in its conversation", .x_axis = "turns before it", .y_axis = "bytes"},
      {curve("turns.turns", "replica.ask.byte", "sent to the replica"),
       curve("turns.turns", "store.journal.byte", "journals"), curve("turns.turns", "gateway.out.byte", "fronts out")});
  write_svg(folder + "/zone.svg", {.title = "A zone lost and back", .x_axis = "daemons in the fleet", .y_axis = "ms"},
            {curve("zone.daemons", "down.ms", "all marked down"), curve("zone.daemons", "back.ms", "all back")});
}

/// A straight line through each figure of each experiment.
void write_slopes(const std::string& folder, const std::vector<Measurement>& measurements) {
  std::ofstream out(folder + "/slopes.csv");
  out << "experiment,figure,base,slope,largest_distance\n";
  std::set<std::pair<std::string, std::string>> written;
  for (const auto& measurement : measurements) {
    for (auto* figures : {&measurement.counts, &measurement.times}) {
      for (const auto& [figure, value] : *figures) {
        if (!written.insert({measurement.experiment, figure}).second)
          continue;
        auto fit = fit_line(points_of(measurements, measurement.experiment, figure));
        out << measurement.experiment << "," << figure << "," << fit.base << "," << fit.slope << ","
            << fit.largest_distance << "\n";
      }
    }
  }
}

Measurement run_experiment(const Experiment& experiment, double size, int seed) {
  auto begun = time(nullptr);
  auto measurement = experiment.run(size, static_cast<uint64_t>(seed));
  measurement.experiment = experiment.name;
  auto seconds = static_cast<long long>(time(nullptr) - begun);
  printf("%-20s %6.0f seed %d: %lld s\n", experiment.name.c_str(), size, seed, seconds);
  fflush(stdout);
  return measurement;
}

bool has_failures(const Measurement& measurement) {
  auto failures = measurement.counts.find("failures");
  return failures != measurement.counts.end() && failures->second > 0;
}

}  // namespace

int run_slopes(const SlopesOptions& options) {
  std::vector<Measurement> measurements;
  int failed = 0;
  for (const auto& experiment : all_experiments(options.largest_fleet)) {
    if (!experiment.name.starts_with(options.name_prefix))
      continue;
    for (auto size : experiment.sizes) {
      for (int seed = 1; seed <= options.seeds; ++seed) {
        measurements.push_back(run_experiment(experiment, size, seed));
        failed += has_failures(measurements.back());
        // After each, so that a run that is broken off leaves what it has measured.
        write_csv(options.output_folder + "/counts.csv", measurements, FigureKind::counts);
        write_csv(options.output_folder + "/times.csv", measurements, FigureKind::times);
      }
    }
  }
  write_charts(options.output_folder, measurements);
  write_slopes(options.output_folder, measurements);
  printf("%zu rows, %d with broken invariants\n", measurements.size(), failed);
  return failed ? 1 : 0;
}

}  // namespace mosskeel::scale
