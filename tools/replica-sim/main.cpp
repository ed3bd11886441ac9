// Runs a stand-in replica: it answers model turns or application requests, with scripted faults.
#include <popt.h>

#include <cstdio>

#include "base/log.hpp"
#include "runtime/signals.hpp"
#include "stand_in_replica.hpp"

using namespace mosskeel;

namespace {

constexpr int kExitUsage = 2;
constexpr Duration kSignalPollInterval = 1000ms;

struct Options {
  Address address;
  replica_sim::ReplicaOptions replica;
  bool print_version = false;
};

/// Prints what is wrong with the command line and gives nothing.
std::optional<Options> read_options(int argc, const char** argv) {
  Options options;
  auto& replica = options.replica;
  char* address = nullptr;
  char* kind = nullptr;
  char* name = nullptr;
  char* runs_file = nullptr;
  int version = 0;
  poptOption table[] = {{"http", 'w', POPT_ARG_STRING, &address, 0, "address for HTTP", "IP:PORT"},
                        {"kind", 'k', POPT_ARG_STRING, &kind, 0, "model or app", "KIND"},
                        {"name", 'n', POPT_ARG_STRING, &name, 0, "the replica's name", "NAME"},
                        {"runs", 'r', POPT_ARG_STRING, &runs_file, 0, "file that each run is noted in", "FILE"},
                        {"pieces", 'p', POPT_ARG_INT, &replica.chunks, 0, "chunks an answer", "N"},
                        {"pace", 't', POPT_ARG_INT, &replica.chunk_interval_ms, 0, "milliseconds between chunks", "MS"},
                        {"version", 'V', POPT_ARG_NONE, &version, 0, "print the version, then exit", nullptr},
                        POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("replica-sim", argc, argv, table, 0);
  if (int status = poptGetNextOpt(context); status < -1) {
    fprintf(stderr, "replica-sim: %s: %s\n", poptBadOption(context, 0), poptStrerror(status));
    return std::nullopt;
  }
  options.print_version = version;
  if (version)
    return options;
  if (!address || !kind) {
    fprintf(stderr, "replica-sim: http, kind: are missing\n");
    return std::nullopt;
  }
  options.address = address;
  replica.kind = kind;
  replica.name = name ? name : address;
  if (runs_file)
    replica.runs_file = runs_file;
  return options;
}

}  // namespace

int main(int argc, const char** argv) {
  auto options = read_options(argc, argv);
  if (!options)
    return kExitUsage;
  if (options->print_version) {
    printf("replica-sim (mosskeel) %s\n", MOSSKEEL_VERSION);
    return 0;
  }
  start_log("replica-sim");
  block_signals();
  replica_sim::StandInReplica replica(options->replica);
  auto server = HttpServer::open(options->address, [&](const ApiRequest& request) { return replica.handle(request); });
  if (!server.ok()) {
    fprintf(stderr, "replica-sim: %s\n", to_string(server.errors()).c_str());
    return kExitUsage;
  }
  while (wait_for_stop_signal(kSignalPollInterval) == StopSignal::none) {}
  return 0;
}
