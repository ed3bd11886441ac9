// Searches the states of a small core of real controller machines; prints how many it saw, or a trace to a fault.
#include <popt.h>

#include <cstdio>

#include "model/explorer.hpp"
#include "model/starts.hpp"

using namespace mosskeel;
using namespace mosskeel::model;

namespace {

/// Prints one search; true if every invariant held.
bool print(const char* start, const char* how, const Cluster& from, const Report& r) {
  printf("%-18s %-12s %9llu states %10llu steps %6llu runs, acknowledged %zu refused %zu, %s\n", start, how,
         static_cast<unsigned long long>(r.states), static_cast<unsigned long long>(r.steps),
         static_cast<unsigned long long>(r.runs), r.acknowledged, r.rejected, r.complete ? "complete" : "not complete");
  fflush(stdout);
  if (r.broken.empty())
    return true;
  auto trace = shorten(from, r.trace);
  printf("BROKEN %s\n%zu actions, shortened from %zu:\n%s", r.broken.c_str(), trace.size(), r.trace.size(),
         describe(trace).c_str());
  return false;
}

}  // namespace

int main(int argc, const char** argv) {
  int depth = 8, reach = 80, deviations = 1, steps = 300;
  long seeds = 100, first = 1;
  double minutes = 0;
  char* only = nullptr;
  poptOption table[] = {
      {"start", 's', POPT_ARG_STRING, &only, 0, "only this start", "NAME"},
      {"depth", 'd', POPT_ARG_INT, &depth, 0, "all orders of so many actions; 0: none", "N"},
      {"reach", 'r', POPT_ARG_INT, &reach, 0, "actions of a search with few deviations; 0: none", "N"},
      {"deviations", 'e', POPT_ARG_INT, &deviations, 0, "how many deviations these may have", "N"},
      {"seeds", 'n', POPT_ARG_LONG, &seeds, 0, "random walks; 0: none", "N"},
      {"first", 'f', POPT_ARG_LONG, &first, 0, "the first seed", "SEED"},
      {"steps", 'l', POPT_ARG_INT, &steps, 0, "actions of a walk", "N"},
      {"minutes", 'm', POPT_ARG_DOUBLE, &minutes, 0, "most minutes of processor time of each search; 0: no end", "M"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext c = poptGetContext("model", argc, argv, table, 0);
  if (int rc = poptGetNextOpt(c); rc < -1)
    return fprintf(stderr, "model: %s: %s\n", poptBadOption(c, 0), poptStrerror(rc)), 2;
  bool good = true;
  for (auto& s : starts()) {
    if (only && s.name != std::string(only))
      continue;
    auto from = s.make({});
    auto seconds = minutes * 60;
    if (depth)
      good &= print(s.name, "all orders", from, explore(from, {depth, -1, 0, seconds}));
    if (reach)
      good &= print(s.name, "deviations", from, explore(from, {reach, deviations, 0, seconds}));
    if (seeds)
      good &= print(s.name, "walks", from,
                    walk(from, static_cast<uint64_t>(first), static_cast<uint64_t>(seeds), steps, seconds));
  }
  return good ? 0 : 1;
}
