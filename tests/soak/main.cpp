// Soak: a fleet of real processes on the real clock, with the platform's stand-ins around it, that is disturbed while
// every promise to callers and operators is checked.
#include <popt.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <memory>

#include "soak/drawn_run.hpp"
#include "soak/scenarios.hpp"

using namespace mosskeel;
using namespace mosskeel::soak;

namespace {

constexpr int kSuccess = 0;
constexpr int kPromiseBroken = 1;
constexpr int kUsageError = 2;
constexpr Duration kMinRunTime = 1000ms;
constexpr int kMaxLoad = 20;
/// What one change may bring: a controller takes up to 1 MiB.
constexpr int kMaxAddedRoutes = 2800;
/// Machines of a class: one a zone at least; the addresses have room for nine.
constexpr int kMinMachines = 3;
constexpr int kMaxMachines = 9;

struct Options {
  /// The folder of the daemons' programs.
  std::string programs;
  platform_stub::FleetSize size;
  bool enforce_limits = true;
  /// A fixed course of events; nullptr for a drawn run.
  const Scenario* scenario = nullptr;
  DrawnRunOptions drawn;
  /// For settings, data and logs, which stay; empty for a temporary folder.
  std::string folder;
  /// Files to write; empty for none.
  std::string record;
  std::string plot;
};

int fail_usage(const std::string& reason) {
  fprintf(stderr, "soak: %s\n", reason.c_str());
  return kUsageError;
}

/// popt allocates a string for each option that was given.
std::string take(char* text) {
  std::unique_ptr<char, decltype(&free)> owned(text, &free);
  return text ? text : "";
}

std::string scenario_names() {
  std::string names;
  for (const auto& scenario : scenarios())
    names += (names.empty() ? "" : ", ") + scenario.name;
  return names;
}

const Scenario* find_scenario(const std::string& name) {
  for (const auto& scenario : scenarios()) {
    if (scenario.name == name)
      return &scenario;
  }
  return nullptr;
}

std::string kind_names() {
  std::string names;
  for (auto kind : kFaultKinds)
    names += (names.empty() ? "" : ", ") + std::string(name(kind));
  return names;
}

/// Takes the kinds of a list with commas; false where one is unknown.
bool read_kinds(const std::string& list, std::set<FaultKind>& kinds) {
  for (size_t begin = 0; begin < list.size();) {
    auto end = std::min(list.find(',', begin), list.size());
    auto kind = fault_kind(list.substr(begin, end - begin));
    if (!kind)
      return false;
    kinds.insert(*kind);
    begin = end + 1;
  }
  return true;
}

/// @return why the options are wrong; empty where they are not.
std::string check_options(const Options& options, const std::string& scenario, bool are_kinds_known) {
  if (!std::filesystem::exists(options.programs + "/gateway"))
    return "programs: '" + options.programs + "' has no gateway";
  if (!scenario.empty() && !options.scenario)
    return "scenario: '" + scenario + "' is none of " + scenario_names();
  if (!are_kinds_known)
    return "only: its kinds are " + kind_names();
  if (options.drawn.duration < kMinRunTime)
    return "for: must be 1 second or more";
  const auto& size = options.size;
  if (std::min({size.controllers, size.stores, size.gateways}) < kMinMachines ||
      std::max({size.controllers, size.stores, size.gateways}) > kMaxMachines)
    return "controllers, stores, gateways: must be from 3 to 9";
  if (options.drawn.load < 1 || options.drawn.load > kMaxLoad)
    return "size: must be from 1 to " + std::to_string(kMaxLoad);
  if (options.drawn.routes < 0 || options.drawn.routes > kMaxAddedRoutes)
    return "routes: must be from 0 to " + std::to_string(kMaxAddedRoutes);
  return "";
}

/// @return the options, or why they can't be read.
std::variant<Options, std::string> read_options(int argc, const char** argv) {
  char* programs = nullptr;
  char* scenario = nullptr;
  char* only = nullptr;
  char* folder = nullptr;
  char* record = nullptr;
  char* plot = nullptr;
  long seed = 1;
  int seconds = 60;
  int load = 1;
  int routes = 0;
  int without_limits = 0;
  platform_stub::FleetSize size;
  poptOption table[] = {
      {"programs", 'p', POPT_ARG_STRING, &programs, 0, "folder of the daemons' programs", "DIR"},
      {"scenario", 's', POPT_ARG_STRING, &scenario, 0, "a fixed course of events instead of a drawn one", "NAME"},
      {"seed", 'n', POPT_ARG_LONG, &seed, 0, "of everything that is drawn at random (1)", "N"},
      {"for", 't', POPT_ARG_INT, &seconds, 0, "how long a drawn run disturbs the fleet, in seconds (60)", "S"},
      {"only", 'o', POPT_ARG_STRING, &only, 0, "kinds of disturbances of a drawn run, with commas between", "KINDS"},
      {"size", 'l', POPT_ARG_INT, &load, 0, "traffic of a drawn run, in multiples of the usual (1)", "N"},
      {"routes", 0, POPT_ARG_INT, &routes, 0, "routes added to the configuration of a drawn run before it (0)", "N"},
      {"controllers", 0, POPT_ARG_INT, &size.controllers, 0, "core machines (3)", "N"},
      {"stores", 0, POPT_ARG_INT, &size.stores, 0, "storage machines (3)", "N"},
      {"gateways", 0, POPT_ARG_INT, &size.gateways, 0, "front machines (3)", "N"},
      {"without-limits", 0, POPT_ARG_NONE, &without_limits, 0, "the kernel holds no daemon to its limits", nullptr},
      {"folder", 'f', POPT_ARG_STRING, &folder, 0, "an empty folder for data and logs, which stay there", "DIR"},
      {"record", 'r', POPT_ARG_STRING, &record, 0, "what happened, an event a line", "FILE"},
      {"plot", 'g', POPT_ARG_STRING, &plot, 0, "memory over time, as SVG", "FILE"},
      POPT_AUTOHELP POPT_TABLEEND};
  std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(poptGetContext("soak", argc, argv, table, 0),
                                                                     &poptFreeContext);
  int result = poptGetNextOpt(context.get());
  Options options;
  options.programs = take(programs);
  auto scenario_name = take(scenario);
  options.scenario = find_scenario(scenario_name);
  options.drawn.seed = static_cast<uint64_t>(seed);
  options.drawn.duration = std::chrono::seconds(seconds);
  options.drawn.load = load;
  options.drawn.routes = routes;
  options.size = size;
  options.enforce_limits = without_limits == 0;
  bool are_kinds_known = read_kinds(take(only), options.drawn.only);
  options.folder = take(folder);
  options.record = take(record);
  options.plot = take(plot);
  if (result < -1)
    return std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(result);
  if (const char* surplus = poptGetArg(context.get()))
    return std::string(surplus) + ": is no option";
  auto wrong = check_options(options, scenario_name, are_kinds_known);
  if (!wrong.empty())
    return wrong;
  return options;
}

/// A folder of its own, removed with its contents.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    auto name = (std::filesystem::temp_directory_path() / "mosskeel-soak-XXXXXX").string();
    path_ = mkdtemp(name.data()) ? name : "";
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

void play(FleetUnderTest& fleet, const Options& options) {
  if (options.scenario)
    return options.scenario->play(fleet);
  RunRecord record(options.record);
  RunReport report(record);
  DrawnRun run(fleet, record, report, options.drawn);
  run.play();
  fleet.environment.on_attempt_over = nullptr;
  report.print();
  if (!options.plot.empty() && !report.plot(options.plot))
    fprintf(stderr, "soak: %s: cannot be written\n", options.plot.c_str());
}

int finish(FleetUnderTest& fleet) {
  auto& environment = fleet.environment;
  fleet.stop_in_order();
  environment.checker.check_totals();
  environment.served.print();
  printf("all        %4d of %4d served; %d starts of processes; %d violations\n", environment.served.served(),
         environment.served.requests(), fleet.machines.starts(), environment.checker.violations());
  if (environment.checker.violations() == 0)
    return kSuccess;
  fleet.machines.print_logs();
  return kPromiseBroken;
}

}  // namespace

int main(int argc, const char** argv) {
  auto read = read_options(argc, argv);
  if (const auto* reason = std::get_if<std::string>(&read))
    return fail_usage(*reason);
  const auto& options = std::get<Options>(read);
  TemporaryFolder temporary;
  auto folder = options.folder.empty() ? temporary.path() : options.folder;
  if (!std::filesystem::is_directory(folder) || !std::filesystem::is_empty(folder))
    return fail_usage("folder: '" + folder + "' is no empty folder");
  // A connection that its peer has closed is an error of its own, not the end of the process.
  ::signal(SIGPIPE, SIG_IGN);
  FleetUnderTest fleet({options.programs, folder, options.size, options.enforce_limits}, options.drawn.seed);
  if (fleet.found())
    play(fleet, options);
  return finish(fleet);
}
