// Runs a fleet on this machine, and does harm to it when asked over HTTP.
#include <curl/curl.h>
#include <popt.h>

#include <cstdio>
#include <filesystem>
#include <nlohmann/json.hpp>

#include "base/log.hpp"
#include "fleet.hpp"
#include "net/http_fetch.hpp"
#include "net/http_server.hpp"
#include "runtime/host.hpp"
#include "runtime/settings.hpp"
#include "runtime/signals.hpp"

using namespace mosskeel;
using Json = nlohmann::json;

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
/// Gateways that are not ready by then are reported as they are.
constexpr Duration kReadyTimeout = 60000ms;
constexpr Duration kReadyProbeTimeout = 1000ms;
constexpr Duration kPollInterval = 100ms;
constexpr Duration kSignalPollInterval = 1000ms;

/// Sets the counts of a named fleet; false if there is none of this name.
bool set_fleet_size(local_cluster::Plan& plan, const std::string& name) {
  if (name == "kjortala") {
    plan.controllers = 5;
    plan.models = 18;
    plan.apps = 8;
  } else if (name == "small") {
    plan.gateways = 2;
    plan.models = 2;
    plan.apps = 1;
  } else if (name != "catania") {
    return false;
  }
  return true;
}

int port_count(const local_cluster::Plan& plan) {
  return 2 * plan.controllers + 2 * plan.stores + 3 * plan.gateways + plan.models + plan.apps;
}

struct Options {
  local_cluster::Plan plan;
  bool print_version = false;
  bool keep_folder = false;
};

/// Prints what is wrong with the command line and gives nothing.
std::optional<Options> read_options(int argc, const char** argv) {
  Options options;
  auto& plan = options.plan;
  char* fleet = nullptr;
  char* folder = nullptr;
  char* chunk_interval = nullptr;
  int version = 0;
  int keep = 0;
  poptOption table[] = {{"fleet", 'f', POPT_ARG_STRING, &fleet, 0,
                         "kjortala (5,6,3,18,8), catania (3,6,3,9,3) or small (3,2,3,2,1)", "NAME"},
                        {"dir", 'd', POPT_ARG_STRING, &folder, 0, "folder for data and logs; emptied first", "DIR"},
                        {"base", 'b', POPT_ARG_INT, &plan.first_port, 0,
                         "first port; the control port is the one before; 0 finds free ones", "PORT"},
                        {"controllers", 0, POPT_ARG_INT, &plan.controllers, 0, "how many controllers", "N"},
                        {"stores", 0, POPT_ARG_INT, &plan.stores, 0, "how many stores", "N"},
                        {"fronts", 0, POPT_ARG_INT, &plan.gateways, 0, "how many gateways", "N"},
                        {"pace", 0, POPT_ARG_STRING, &chunk_interval, 0, "milliseconds between a model's chunks", "MS"},
                        {"keep", 'k', POPT_ARG_NONE, &keep, 0, "keep the folder of an earlier run", nullptr},
                        {"version", 'V', POPT_ARG_NONE, &version, 0, "print the version, then exit", nullptr},
                        POPT_AUTOHELP POPT_TABLEEND};
  // The named fleet first, so that the options for single counts override it wherever they stand.
  for (int index = 1; index + 1 < argc; ++index) {
    std::string option = argv[index];
    const auto* argument = argv[index + 1];
    if ((option == "--fleet" || option == "-f") && !set_fleet_size(plan, argument)) {
      fprintf(stderr, "local-cluster: fleet: '%s' is unknown\n", argument);
      return std::nullopt;
    }
  }
  poptContext context = poptGetContext("local-cluster", argc, argv, table, 0);
  if (int status = poptGetNextOpt(context); status < -1) {
    fprintf(stderr, "local-cluster: %s: %s\n", poptBadOption(context, 0), poptStrerror(status));
    return std::nullopt;
  }
  options.print_version = version;
  options.keep_folder = keep;
  if (!folder && !version) {
    fprintf(stderr, "local-cluster: dir: is missing\n");
    return std::nullopt;
  }
  if (folder)
    plan.folder = folder;
  if (chunk_interval)
    plan.model_chunk_interval = chunk_interval;
  return options;
}

int count_ready_gateways(local_cluster::Fleet& fleet) {
  int ready = 0;
  for (const auto& process : fleet.list()) {
    if (process.program != "gateway" || !process.pid)
      continue;
    FetchRequest request;
    request.url = "http://" + process.http_address + "/ready";
    request.timeout = kReadyProbeTimeout;
    ready += http_fetch(request).status == 200;
  }
  return ready;
}

Json describe(const std::vector<local_cluster::Process>& processes) {
  auto list = Json::array();
  for (const auto& process : processes) {
    list.push_back({{"name", process.name},
                    {"program", process.program},
                    {"pid", process.pid},
                    {"listen", process.listen_address},
                    {"http", process.http_address},
                    {"zone", process.zone},
                    {"frozen", process.frozen}});
  }
  return list;
}

/// GET /fleet lists the processes, POST /ACTION/NAME does something to one.
ApiResponse handle_control_request(local_cluster::Fleet& fleet, const ApiRequest& request) {
  ApiResponse response;
  if (request.path == "/fleet") {
    response.body = describe(fleet.list()).dump() + "\n";
    return response;
  }
  auto slash = request.path.find('/', 1);
  if (request.method != "POST" || slash == std::string::npos)
    return ApiResponse::error(404, "unknown_path", "try GET /fleet or POST /kill/NAME");
  auto action = request.path.substr(1, slash - 1);
  auto name = request.path.substr(slash + 1);
  if (auto errors = fleet.act(action, name); !errors.empty())
    return ApiResponse::error(409, "refused", errors);
  response.body = "{}\n";
  return response;
}

void print_ready(local_cluster::Fleet& fleet, const local_cluster::Plan& plan, Duration duration) {
  std::string controllers;
  for (const auto& address : fleet.controllers())
    controllers += (controllers.empty() ? "" : ",") + address;
  printf("local-cluster: %d of %d fronts ready after %lld ms; controllers %s; control 127.0.0.1:%d\n",
         count_ready_gateways(fleet), plan.gateways, static_cast<long long>(duration.count()), controllers.c_str(),
         plan.first_port - 1);
  fflush(stdout);
}

int fail(const Errors& errors, int exit_code) {
  fprintf(stderr, "local-cluster: %s\n", to_string(errors).c_str());
  return exit_code;
}

int run(const local_cluster::Plan& plan) {
  auto begun = process_now();
  local_cluster::Fleet fleet(plan);
  if (auto errors = fleet.start_all(); !errors.empty())
    return fail(errors, kExitUsage);
  if (auto errors = fleet.configure(); !errors.empty())
    return fail(errors, kExitFailed);
  while (count_ready_gateways(fleet) < plan.gateways && process_now() - begun < kReadyTimeout) {
    if (wait_for_stop_signal(kPollInterval) != StopSignal::none)
      return kExitFailed;
  }
  auto control_address = "127.0.0.1:" + std::to_string(plan.first_port - 1);
  auto server = HttpServer::open(control_address,
                                 [&](const ApiRequest& request) { return handle_control_request(fleet, request); });
  if (!server.ok())
    return fail(server.errors(), kExitUsage);
  print_ready(fleet, plan, process_now() - begun);
  while (wait_for_stop_signal(kSignalPollInterval) == StopSignal::none) {}
  return 0;
}

}  // namespace

int main(int argc, const char** argv) {
  auto options = read_options(argc, argv);
  if (!options)
    return kExitUsage;
  if (options->print_version) {
    printf("local-cluster (mosskeel) %s\n", MOSSKEEL_VERSION);
    return 0;
  }
  auto& plan = options->plan;
  if (plan.first_port == 0)
    plan.first_port = local_cluster::find_free_ports(port_count(plan));
  plan.program_folder = std::filesystem::read_symlink("/proc/self/exe").parent_path();
  if (!options->keep_folder)
    std::filesystem::remove_all(plan.folder);
  start_log("local-cluster");
  block_signals();
  curl_global_init(CURL_GLOBAL_DEFAULT);
  return run(plan);
}
