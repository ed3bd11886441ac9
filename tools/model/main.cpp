// Searches the states of a small core of real controller machines; prints how many it saw, or a trace to a fault.
#include <popt.h>

#include <cstdio>

#include "model/explorer.hpp"
#include "model/starts.hpp"

using namespace mosskeel;
using namespace mosskeel::model;

namespace {

constexpr int kExitUsage = 2;

struct SearchOptions {
  /// Only this start; empty: all.
  std::string start;
  /// Actions of the search through all orders; 0: none.
  int depth = 8;
  /// Actions of the search with few deviations, and how many; 0: none.
  int reach = 80;
  int deviations = 1;
  /// Random walks and their actions; 0: none.
  long seeds = 100;
  long first_seed = 1;
  int walk_steps = 300;
  /// Of processor time for each search; 0: no end.
  double minutes = 0;
};

/// Prints what is wrong with the command line and gives nothing.
std::optional<SearchOptions> read_options(int argc, const char** argv) {
  SearchOptions options;
  char* start = nullptr;
  poptOption table[] = {
      {"start", 's', POPT_ARG_STRING, &start, 0, "only this start", "NAME"},
      {"depth", 'd', POPT_ARG_INT, &options.depth, 0, "all orders of so many actions; 0: none", "N"},
      {"reach", 'r', POPT_ARG_INT, &options.reach, 0, "actions of a search with few deviations; 0: none", "N"},
      {"deviations", 'e', POPT_ARG_INT, &options.deviations, 0, "how many deviations these may have", "N"},
      {"seeds", 'n', POPT_ARG_LONG, &options.seeds, 0, "random walks; 0: none", "N"},
      {"first", 'f', POPT_ARG_LONG, &options.first_seed, 0, "the first seed", "SEED"},
      {"steps", 'l', POPT_ARG_INT, &options.walk_steps, 0, "actions of a walk", "N"},
      {"minutes", 'm', POPT_ARG_DOUBLE, &options.minutes, 0, "most minutes of processor time of each search; 0: no end",
       "M"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("model", argc, argv, table, 0);
  if (int status = poptGetNextOpt(context); status < -1) {
    fprintf(stderr, "model: %s: %s\n", poptBadOption(context, 0), poptStrerror(status));
    return std::nullopt;
  }
  if (start)
    options.start = start;
  return options;
}

/// Prints one search; true if every invariant held.
bool print(const char* start, const char* method, const Cluster& from, const Report& report) {
  printf("%-18s %-12s %9llu states %10llu steps %6llu runs, acknowledged %zu refused %zu, %s\n", start, method,
         static_cast<unsigned long long>(report.states), static_cast<unsigned long long>(report.steps),
         static_cast<unsigned long long>(report.runs), report.acknowledged, report.rejected,
         report.complete ? "complete" : "not complete");
  fflush(stdout);
  if (report.broken.empty())
    return true;
  auto trace = shorten(from, report.trace);
  printf("BROKEN %s\n%zu actions, shortened from %zu:\n%s", report.broken.c_str(), trace.size(), report.trace.size(),
         describe(trace).c_str());
  return false;
}

/// All searches from one start; true if every invariant held.
bool search(const Start& start, const SearchOptions& options) {
  auto from = start.make({});
  auto seconds = options.minutes * 60;
  bool held = true;
  if (options.depth) {
    Bounds bounds{.depth = options.depth, .deviations = -1, .states = 0, .seconds = seconds};
    held &= print(start.name, "all orders", from, explore(from, bounds));
  }
  if (options.reach) {
    Bounds bounds{.depth = options.reach, .deviations = options.deviations, .states = 0, .seconds = seconds};
    held &= print(start.name, "deviations", from, explore(from, bounds));
  }
  if (options.seeds) {
    auto report = walk(from, static_cast<uint64_t>(options.first_seed), static_cast<uint64_t>(options.seeds),
                       options.walk_steps, seconds);
    held &= print(start.name, "walks", from, report);
  }
  return held;
}

}  // namespace

int main(int argc, const char** argv) {
  auto options = read_options(argc, argv);
  if (!options)
    return kExitUsage;
  bool held = true;
  for (const auto& start : starts()) {
    if (options->start.empty() || options->start == start.name)
      held &= search(start, *options);
  }
  return held ? 0 : 1;
}
