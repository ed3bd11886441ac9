// Measures how the daemons' costs grow with the fleet, and runs real controllers under a fleet of hollow daemons.
#include <popt.h>

#include <cstdio>
#include <filesystem>

#include "scale/experiments.hpp"
#include "scale/fleet_run.hpp"
#include "scale/hollow_daemons.hpp"
#include "scale/slopes.hpp"

using namespace mosskeel;

namespace {

constexpr int kExitUsage = 2;

struct Options {
  scale::SlopesOptions slopes;
  scale::FleetOptions fleet;
  int first_hollow_daemon = 0;
  /// What to do: slopes, fleet, rows or, for the processes that a fleet run starts, hollow.
  std::string command;
};

/// Closes the parser of the command line.
struct PoptFree {
  void operator()(poptContext context) const { poptFreeContext(context); }
};
using PoptContext = std::unique_ptr<poptContext_s, PoptFree>;

/// Prints what is wrong with the command line and gives nothing.
std::optional<Options> read_options(int argc, const char** argv) {
  Options options;
  auto& fleet = options.fleet;
  char* output_folder = nullptr;
  char* name_prefix = nullptr;
  poptOption table[] = {
      {"out", 'o', POPT_ARG_STRING, &output_folder, 0, "folder for the report", "DIR"},
      {"only", 'x', POPT_ARG_STRING, &name_prefix, 0, "only experiments whose name begins so", "NAME"},
      {"seeds", 'n', POPT_ARG_INT, &options.slopes.seeds, 0, "how many seeds each", "N"},
      {"largest", 'l', POPT_ARG_INT, &options.slopes.largest_fleet, 0, "leave out larger fleets than this", "N"},
      {"controllers", 0, POPT_ARG_INT, &fleet.plan.controllers, 0, "fleet: real controllers", "N"},
      {"daemons", 0, POPT_ARG_INT, &fleet.plan.daemons, 0, "fleet: hollow daemons", "N"},
      {"replicas", 0, POPT_ARG_INT, &fleet.plan.replicas, 0, "fleet: replicas in the list", "N"},
      {"cells", 0, POPT_ARG_INT, &fleet.plan.cells, 0, "fleet: tenants in the configuration", "N"},
      {"paths", 0, POPT_ARG_INT, &fleet.plan.paths, 0, "fleet: paths in the configuration", "N"},
      {"base", 'b', POPT_ARG_INT, &fleet.first_port, 0, "fleet: first port", "PORT"},
      {"changes", 0, POPT_ARG_INT, &fleet.changes, 0, "fleet: changes of the configuration", "N"},
      {"restarts", 0, POPT_ARG_INT, &fleet.restarts, 0, "fleet: restarts in a row", "N"},
      {"many", 0, POPT_ARG_INT, &fleet.daemons_per_process, 0, "fleet: hollow daemons a process", "N"},
      {"hollow", 0, POPT_ARG_INT, &options.first_hollow_daemon, 0,
       "be a process of hollow daemons, the first of this number", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  PoptContext context(poptGetContext("scale", argc, argv, table, 0));
  poptSetOtherOptionHelp(context.get(), "slopes|fleet|rows");
  if (int status = poptGetNextOpt(context.get()); status < -1) {
    fprintf(stderr, "scale: %s: %s\n", poptBadOption(context.get(), 0), poptStrerror(status));
    return std::nullopt;
  }
  if (auto* command = poptGetArg(context.get()))
    options.command = command;
  if (output_folder)
    options.slopes.output_folder = fleet.output_folder = output_folder;
  if (name_prefix)
    options.slopes.name_prefix = name_prefix;
  bool needs_folder = options.command == "slopes" || options.command == "fleet";
  bool is_known = needs_folder || options.command == "hollow" || options.command == "rows";
  if (!is_known || (needs_folder && !output_folder)) {
    poptPrintUsage(context.get(), stderr, 0);
    return std::nullopt;
  }
  fleet.program_folder = std::filesystem::read_symlink("/proc/self/exe").parent_path();
  return options;
}

/// The rows of the capacity page's table.
void print_capacity_page_rows(int largest_fleet) {
  for (int daemons : {10, 40, 100, 340}) {
    if (daemons > largest_fleet)
      continue;
    printf("%s\n", scale::capacity_page_row(daemons, 1).c_str());
    fflush(stdout);
  }
}

}  // namespace

int main(int argc, const char** argv) {
  auto options = read_options(argc, argv);
  if (!options)
    return kExitUsage;
  if (options->command == "hollow")
    return scale::run_hollow_daemons(options->fleet, options->first_hollow_daemon);
  if (options->command == "rows") {
    print_capacity_page_rows(options->slopes.largest_fleet);
    return 0;
  }
  std::filesystem::create_directories(options->slopes.output_folder);
  if (options->command == "slopes")
    return scale::run_slopes(options->slopes);
  return scale::run_fleet(options->fleet);
}
