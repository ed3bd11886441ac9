// Runs simulation scenarios with many seeds; prints those that fail and how to replay them.
#include <popt.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "simulation/scenarios.hpp"

using namespace mosskeel;

namespace {

constexpr int kExitUsage = 2;

struct Options {
  std::vector<std::string> scenarios = sim::scenario_names();
  /// 0: until stopped.
  int seeds = 0;
  long first_seed = 1;
  int threads = 4;
  bool print_notes = false;
  bool print_reasons = false;
};

/// Parses the command line; prints an error and returns nothing if it is invalid.
std::optional<Options> read_options(int argc, const char** argv) {
  Options options;
  char* scenario = nullptr;
  int notes = 0;
  int reasons = 0;
  poptOption table[] = {
      {"seeds", 'n', POPT_ARG_INT, &options.seeds, 0, "how many seeds each; 0 runs until stopped", "N"},
      {"from", 'f', POPT_ARG_LONG, &options.first_seed, 0, "the first seed", "SEED"},
      {"scenario", 's', POPT_ARG_STRING, &scenario, 0, "run only this scenario", "NAME"},
      {"jobs", 'j', POPT_ARG_INT, &options.threads, 0, "threads", "N"},
      {"notes", 0, POPT_ARG_NONE, &notes, 0, "print every message and event (one seed)", nullptr},
      {"reasons", 0, POPT_ARG_NONE, &reasons, 0, "print why outcomes were unknown", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("simulate", argc, argv, table, 0);
  if (int status = poptGetNextOpt(context); status < -1) {
    fprintf(stderr, "simulate: %s: %s\n", poptBadOption(context, 0), poptStrerror(status));
    return std::nullopt;
  }
  options.print_notes = notes;
  options.print_reasons = reasons;
  if (scenario)
    options.scenarios = {scenario};
  return options;
}

void add(sim::ScenarioResult& sum, const sim::ScenarioResult& result) {
  sum.successes += result.successes;
  sum.refusals += result.refusals;
  sum.unknowns += result.unknowns;
  sum.resumed += result.resumed;
  sum.messages += result.messages;
  sum.syncs += result.syncs;
  for (const auto& [reason, count] : result.reasons)
    sum.reasons[reason] += count;
  sum.repair_times.insert(sum.repair_times.end(), result.repair_times.begin(), result.repair_times.end());
}

void print_failure(const std::string& scenario, long seed, const sim::ScenarioResult& result) {
  auto* name = scenario.c_str();
  printf("FAILED %s seed %ld; replay: simulate -s %s -f %ld -n 1 --notes\n", name, seed, name, seed);
  for (const auto& failure : result.failures)
    printf("  %s\n", failure.c_str());
  fflush(stdout);
}

void print_sum(const std::string& scenario, const sim::ScenarioResult& sum) {
  auto number = [](uint64_t count) {
    return static_cast<unsigned long long>(count);
  };
  printf("%-10s successes %llu refusals %llu unknown %llu read back %llu messages %llu syncs %llu\n", scenario.c_str(),
         number(sum.successes), number(sum.refusals), number(sum.unknowns), number(sum.resumed), number(sum.messages),
         number(sum.syncs));
}

void print_repair_times(const std::string& scenario, std::vector<Duration> durations) {
  if (durations.empty())
    return;
  std::sort(durations.begin(), durations.end());
  auto percentile = [&](size_t percent) {
    return static_cast<long long>(durations[(durations.size() - 1) * percent / 100].count());
  };
  printf("%-10s ms on too few copies: %zu losses, half %lld, nine tenths %lld, 99 of 100 %lld, most %lld\n",
         scenario.c_str(), durations.size(), percentile(50), percentile(90), percentile(99), percentile(100));
}

void print_reasons(const std::string& scenario, const sim::ScenarioResult& sum) {
  for (const auto& [reason, count] : sum.reasons)
    printf("%-10s %6llu %s\n", scenario.c_str(), static_cast<unsigned long long>(count), reason.c_str());
}

/// Runs scenarios and seeds on several threads, alternating scenarios so that all are run with the first seeds.
class ScenarioRunner {
 public:
  explicit ScenarioRunner(const Options& options) : options_(options) {}

  void run_all() {
    std::vector<std::thread> threads;
    threads.reserve(static_cast<size_t>(std::max(0, options_.threads)));
    for (int number = 0; number < options_.threads; ++number)
      threads.emplace_back([this] { work(); });
    for (auto& thread : threads)
      thread.join();
  }

  void print() const {
    for (const auto& [scenario, sum] : sums_)
      print_sum(scenario, sum);
    for (const auto& [scenario, sum] : sums_)
      print_repair_times(scenario, sum.repair_times);
    if (options_.print_reasons) {
      for (const auto& [scenario, sum] : sums_)
        print_reasons(scenario, sum);
    }
    printf("%ld played, %ld failed\n", played_, failed_);
  }

  long failed() const { return failed_; }

 private:
  void work() {
    auto scenario_count = static_cast<long>(options_.scenarios.size());
    while (true) {
      auto number = next_++;
      auto seed = options_.first_seed + number / scenario_count;
      if (options_.seeds && seed >= options_.first_seed + options_.seeds)
        return;
      const auto& scenario = options_.scenarios[static_cast<size_t>(number % scenario_count)];
      auto result = sim::run_scenario(scenario, static_cast<uint64_t>(seed), options_.print_notes);
      note(scenario, seed, result);
    }
  }

  void note(const std::string& scenario, long seed, const sim::ScenarioResult& result) {
    std::lock_guard lock(mutex_);
    ++played_;
    if (options_.print_notes) {
      for (const auto& line : result.notes)
        printf("%s\n", line.c_str());
    }
    add(sums_[scenario], result);
    if (result.failures.empty())
      return;
    ++failed_;
    print_failure(scenario, seed, result);
  }

  const Options& options_;
  std::atomic<long> next_{0};
  std::mutex mutex_;
  long played_ = 0;
  long failed_ = 0;
  std::map<std::string, sim::ScenarioResult> sums_;
};

}  // namespace

int main(int argc, const char** argv) {
  auto options = read_options(argc, argv);
  if (!options)
    return kExitUsage;
  ScenarioRunner runner(*options);
  runner.run_all();
  runner.print();
  return runner.failed() ? 1 : 0;
}
