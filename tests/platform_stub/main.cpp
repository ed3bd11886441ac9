// A stand-in of the platform's surroundings on loopback: its replica list, replicas of its services, its operator and
// its callers. It checks what the fleet of daemons promises to each of them.
#include <popt.h>

#include <csignal>
#include <cstdio>
#include <memory>

#include "platform_stub/scenario.hpp"

using namespace mosskeel;
using namespace mosskeel::platform_stub;

namespace {

constexpr int kSuccess = 0;
constexpr int kPromiseBroken = 1;
constexpr int kUsageError = 2;

struct Options {
  std::string folder;
  bool writes_settings = false;
  std::chrono::seconds traffic_duration{20};
  bool is_calm = false;
};

int fail_usage(const std::string& reason) {
  fprintf(stderr, "standin: %s\n", reason.c_str());
  return kUsageError;
}

/// @return the options, or why they can't be read.
std::variant<Options, std::string> read_options(int argc, const char** argv) {
  char* folder = nullptr;
  int writes_settings = 0;
  int seconds = 20;
  int is_calm = 0;
  poptOption table[] = {
      {"dir", 'd', POPT_ARG_STRING, &folder, 0, "folder for settings and data", "DIR"},
      {"settings", 's', POPT_ARG_NONE, &writes_settings, 0, "write the daemons' settings, then exit", nullptr},
      {"seconds", 't', POPT_ARG_INT, &seconds, 0, "how long traffic lasts", "S"},
      {"calm", 'c', POPT_ARG_NONE, &is_calm, 0, "no faults: an answer that was begun may not be lost", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(poptGetContext("standin", argc, argv, table, 0),
                                                                     &poptFreeContext);
  int result = poptGetNextOpt(context.get());
  if (result < -1)
    return std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(result);
  if (!folder)
    return "dir: is missing";
  Options options{folder, writes_settings != 0, std::chrono::seconds(seconds), is_calm != 0};
  free(folder);
  return options;
}

}  // namespace

int main(int argc, const char** argv) {
  auto read = read_options(argc, argv);
  if (const auto* reason = std::get_if<std::string>(&read))
    return fail_usage(*reason);
  const auto& options = std::get<Options>(read);
  if (options.writes_settings) {
    write_settings(options.folder);
    return kSuccess;
  }
  auto addresses = read_addresses(options.folder);
  if (!addresses)
    return fail_usage("no settings there");
  // A connection that its peer has closed is an error of its own, not the end of the process.
  ::signal(SIGPIPE, SIG_IGN);
  Scenario scenario(*addresses, options.traffic_duration, options.is_calm);
  return scenario.run() ? kSuccess : kPromiseBroken;
}
