// The load generator: drives a fleet with a deployment's mix and checks what must never happen.
#include <curl/curl.h>
#include <popt.h>
#include <signal.h>

#include <cstdio>
#include <sstream>

#include "har.hpp"
#include "load_generator.hpp"

using namespace mosskeel;

namespace {

constexpr int kExitUsage = 2;
/// Programs a second; each has a thread.
constexpr double kMaxRate = 1000;

struct Options {
  loadgen::Plan plan;
  /// An archive to be replayed instead of the plan, and the gateway that it goes to.
  std::string har_file;
  Address replay_target;
  loadgen::ReplayScope replay_scope = loadgen::ReplayScope::safe_methods;
  bool print_version = false;
};

std::vector<std::string> split_at_commas(const std::string& list) {
  std::vector<std::string> items;
  std::stringstream stream(list);
  for (std::string item; std::getline(stream, item, ',');)
    items.push_back(item);
  return items;
}

/// Copies the argument of an option that was given.
void assign(std::string& target, const char* argument) {
  if (argument)
    target = argument;
}

/// What is wrong with the options; empty if nothing.
std::string check(const Options& options) {
  const auto& plan = options.plan;
  if (!options.har_file.empty())
    return options.replay_target.empty() ? "to: is missing" : "";
  if (plan.controllers.empty())
    return "controllers: are missing";
  if (plan.rate <= 0 || plan.rate > kMaxRate || plan.seconds < 1)
    return "rate, seconds: are out of range";
  if (!plan.fault_targets.empty() && plan.control_address.empty())
    return "control: is missing";
  if (plan.mix != "election" && plan.mix != "builds")
    return "mix: is neither election nor builds";
  return "";
}

/// Prints what is wrong with the command line and gives nothing.
std::optional<Options> read_options(int argc, const char** argv) {
  Options options;
  auto& plan = options.plan;
  char* controllers = nullptr;
  char* mix = nullptr;
  char* cell = nullptr;
  char* runs = nullptr;
  char* report = nullptr;
  char* harm = nullptr;
  char* control = nullptr;
  char* har = nullptr;
  char* to = nullptr;
  int all = 0;
  int version = 0;
  poptOption table[] = {
      {"controllers", 'm', POPT_ARG_STRING, &controllers, 0, "HTTP addresses of controllers", "A,B,C"},
      {"rate", 'r', POPT_ARG_DOUBLE, &plan.rate, 0, "programs a second", "N"},
      {"seconds", 't', POPT_ARG_INT, &plan.seconds, 0, "how long programs are begun", "S"},
      {"mix", 'x', POPT_ARG_STRING, &mix, 0, "election or builds", "NAME"},
      {"cell", 'c', POPT_ARG_STRING, &cell, 0, "the cell to ask (default news)", "NAME"},
      {"runs", 0, POPT_ARG_STRING, &runs, 0, "folder with the replica sims' run files, to be checked", "DIR"},
      {"report", 0, POPT_ARG_STRING, &report, 0, "file for the figures as JSON", "FILE"},
      {"harm", 0, POPT_ARG_STRING, &harm, 0, "kinds of process to kill, freeze and restart", "KIND,..."},
      {"control", 0, POPT_ARG_STRING, &control, 0, "the local cluster's control address, for harm", "IP:PORT"},
      {"seed", 0, POPT_ARG_LONG, &plan.fault_seed, 0, "seed of the random harm", "N"},
      {"har", 0, POPT_ARG_STRING, &har, 0, "replay this HTTP archive instead", "FILE"},
      {"to", 0, POPT_ARG_STRING, &to, 0, "the gateway that the replay goes to", "IP:PORT"},
      {"all", 0, POPT_ARG_NONE, &all, 0, "replay also what may not be repeated", nullptr},
      {"version", 'V', POPT_ARG_NONE, &version, 0, "print the version, then exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("loadgen", argc, argv, table, 0);
  if (int status = poptGetNextOpt(context); status < -1) {
    fprintf(stderr, "loadgen: %s: %s\n", poptBadOption(context, 0), poptStrerror(status));
    return std::nullopt;
  }
  if (controllers)
    plan.controllers = split_at_commas(controllers);
  if (harm)
    plan.fault_targets = split_at_commas(harm);
  if (all)
    options.replay_scope = loadgen::ReplayScope::everything;
  options.print_version = version;
  assign(plan.mix, mix);
  assign(plan.cell, cell);
  assign(plan.runs_folder, runs);
  assign(plan.report_file, report);
  assign(plan.control_address, control);
  assign(options.har_file, har);
  assign(options.replay_target, to);
  if (auto error = check(options); !error.empty() && !version) {
    fprintf(stderr, "loadgen: %s\n", error.c_str());
    return std::nullopt;
  }
  return options;
}

}  // namespace

int main(int argc, const char** argv) {
  auto options = read_options(argc, argv);
  if (!options)
    return kExitUsage;
  if (options->print_version) {
    printf("loadgen (mosskeel) %s\n", MOSSKEEL_VERSION);
    return 0;
  }
  signal(SIGPIPE, SIG_IGN);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  if (!options->har_file.empty())
    return loadgen::replay_har(options->har_file, options->replay_target, options->replay_scope);
  return loadgen::LoadGenerator(options->plan).run();
}
