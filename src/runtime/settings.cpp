#include "runtime/settings.hpp"

#include <popt.h>

#include <cstdio>
#include <fstream>
#include <random>
#include <sstream>

#include "base/json.hpp"
#include "base/log.hpp"
#include "runtime/constants.hpp"
#include "runtime/settings_file.hpp"

namespace mosskeel {
namespace {

/// Limits of the timeouts in the settings.
constexpr Duration kMinCommitAttemptTimeout = 100ms;
constexpr Duration kMaxCommitAttemptTimeout = 30000ms;
constexpr Duration kMaxCommitTimeout = 60000ms;
constexpr Duration kMinShutdownGrace = 1000ms;
constexpr Duration kMaxShutdownGrace = 3600000ms;

struct PoptContextDeleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};

std::vector<const SettingsSource*>& registered_sources() {
  static std::vector<const SettingsSource*> sources;
  return sources;
}

const SettingsSource* applying_source() {
  for (const auto* source : registered_sources()) {
    if (source->applies())
      return source;
  }
  return nullptr;
}

int report_errors(const RequiredSettings& required, const Errors& errors) {
  for (const auto& error : errors)
    fprintf(stderr, "%s: event=%d %s: %s: %s\n", required.program, static_cast<int>(Event::bad_settings),
            meaning(Event::bad_settings), error.location.c_str(), error.message.c_str());
  return kExitBadSettings;
}

/// Values of the command-line flags; null or 0 for a flag that was not given.
struct Flags {
  char* file = nullptr;
  char* listen = nullptr;
  char* http = nullptr;
  char* agent = nullptr;
  char* zone = nullptr;
  char* seeds = nullptr;
  char* data = nullptr;
  int core_size = 0;
  long commit_timeout = 0;
  long commit_attempt_timeout = 0;
  long shutdown_grace = 0;
  int check = 0;
  int version = 0;

  /// Returns whether any flag specifies settings.
  bool any_setting() const {
    return file || listen || http || agent || zone || seeds || data || core_size || commit_timeout ||
           commit_attempt_timeout || shutdown_grace;
  }
};

Errors parse_flags(int argc, const char** argv, const RequiredSettings& required, Flags& flags) {
  poptOption table[] = {
      {"settings", 's', POPT_ARG_STRING, &flags.file, 0, "JSON file with any of the settings below", "FILE"},
      {"listen", 'l', POPT_ARG_STRING, &flags.listen, 0, "address for other daemons", "IP:PORT"},
      {"http", 'w', POPT_ARG_STRING, &flags.http, 0, "address for HTTP", "IP:PORT"},
      {"agent", 'a', POPT_ARG_STRING, &flags.agent, 0, "address of a gateway's agent, or of an agent's gateway",
       "IP:PORT"},
      {"zone", 'z', POPT_ARG_STRING, &flags.zone, 0, "the zone of this machine", "NAME"},
      {"seeds", 'e', POPT_ARG_STRING, &flags.seeds, 0, "three addresses of controllers", "A,B,C"},
      {"data", 'd', POPT_ARG_STRING, &flags.data, 0, "the data directory", "DIR"},
      {"core-size", 'c', POPT_ARG_INT, &flags.core_size, 0, "number of controllers in the core", "N"},
      {"tcm-await-ms", 0, POPT_ARG_LONG, &flags.commit_timeout, 0, "timeout of a commit as a whole (10000)", "MS"},
      {"tcm-rpc-ms", 0, POPT_ARG_LONG, &flags.commit_attempt_timeout, 0,
       "timeout of one commit attempt on one controller (2000)", "MS"},
      {"shutdown-grace-ms", 0, POPT_ARG_LONG, &flags.shutdown_grace, 0,
       "time from SIGTERM until a gateway may be killed (70000)", "MS"},
      {"check", 0, POPT_ARG_NONE, &flags.check, 0, "check the settings, then exit", nullptr},
      {"version", 'V', POPT_ARG_NONE, &flags.version, 0, "print the version, then exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  std::unique_ptr<std::remove_pointer_t<poptContext>, PoptContextDeleter> context(
      poptGetContext(required.program, argc, argv, table, 0));
  poptSetOtherOptionHelp(context.get(), (std::string("[OPTIONS]\n") + required.purpose).c_str());
  int code = poptGetNextOpt(context.get());
  while (code >= 0)
    code = poptGetNextOpt(context.get());
  constexpr int kNoMoreOptions = -1;
  if (code != kNoMoreOptions)
    return {{poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), poptStrerror(code)}};
  Errors errors;
  if (const char* surplus = poptGetArg(context.get()))
    errors.push_back({surplus, "is not an option"});
  return errors;
}

Errors read_file(const char* path, Settings& settings) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file)
    return {{path, "cannot be read"}};
  auto parsed = json::parse<SettingsFile>(text.str());
  if (!parsed.ok()) {
    Errors errors;
    for (const auto& error : parsed.errors())
      errors.push_back({std::string(path) + ": " + error.location, error.message});
    return errors;
  }
  settings = settings_from(parsed.value());
  return {};
}

void set_if_given(std::string& setting, const char* flag) {
  if (flag)
    setting = flag;
}

std::vector<std::string> split_at_commas(const char* text) {
  std::vector<std::string> parts;
  std::stringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');)
    parts.push_back(part);
  return parts;
}

void apply_flags(const Flags& flags, Settings& settings) {
  set_if_given(settings.listen_address, flags.listen);
  set_if_given(settings.http_address, flags.http);
  set_if_given(settings.agent_address, flags.agent);
  set_if_given(settings.zone, flags.zone);
  set_if_given(settings.data_directory, flags.data);
  if (flags.core_size)
    settings.core_size = static_cast<uint32_t>(flags.core_size < 0 ? 0 : flags.core_size);
  if (flags.commit_timeout)
    settings.commit_timeout = Duration(flags.commit_timeout);
  if (flags.commit_attempt_timeout)
    settings.commit_attempt_timeout = Duration(flags.commit_attempt_timeout);
  if (flags.shutdown_grace)
    settings.shutdown_grace = Duration(flags.shutdown_grace);
  if (flags.seeds)
    settings.seeds = split_at_commas(flags.seeds);
}

void check_address(const std::string& location, const std::string& address, Errors& errors) {
  if (!split_address(address))
    errors.push_back({location, "'" + address + "' is not an IP:port"});
}

void check_addresses(const Settings& settings, const RequiredSettings& required, bool from_source, Errors& errors) {
  bool may_lack_http = from_source && settings.http_address.empty();
  if (required.listen)
    check_address("listen", settings.listen_address, errors);
  if (required.http && !may_lack_http)
    check_address("http", settings.http_address, errors);
  if (!settings.readiness_address.empty())
    check_address("ready", settings.readiness_address, errors);
  if (!settings.replica_list_address.empty())
    check_address("list", settings.replica_list_address, errors);
  if (required.agent)
    check_address("agent", settings.agent_address, errors);
}

Errors check(const Settings& settings, const RequiredSettings& required, bool from_source) {
  Errors errors;
  check_addresses(settings, required, from_source, errors);
  if (required.zone && settings.zone.empty())
    errors.push_back({"zone", "is missing"});
  if (required.data && settings.data_directory.empty())
    errors.push_back({"data", "is missing"});
  if (required.seeds && settings.seeds.empty())
    errors.push_back({"seeds", "are missing"});
  for (size_t i = 0; required.seeds && i < settings.seeds.size(); ++i)
    check_address("seeds[" + std::to_string(i) + "]", settings.seeds[i], errors);
  bool is_out_of_range = settings.core_size < 1 || settings.core_size > kMaxCoreSize;
  bool is_even = !from_source && settings.core_size % 2 == 0;
  if (required.core_size && (is_out_of_range || is_even))
    errors.push_back({"core_size", "must be an odd number from 1 to 9"});
  if (settings.commit_attempt_timeout < kMinCommitAttemptTimeout ||
      settings.commit_attempt_timeout > kMaxCommitAttemptTimeout)
    errors.push_back({"tcm_rpc_ms", "must be from 100 to 30000"});
  if (settings.commit_timeout < settings.commit_attempt_timeout || settings.commit_timeout > kMaxCommitTimeout)
    errors.push_back({"tcm_await_ms", "must be from tcm_rpc_ms to 60000"});
  // A grace period from a platform's settings is accepted as it is.
  if (!from_source && (settings.shutdown_grace < kMinShutdownGrace || settings.shutdown_grace > kMaxShutdownGrace))
    errors.push_back({"shutdown_grace_ms", "must be from 1000 to 3600000"});
  return errors;
}

void append(Errors& errors, Errors more) {
  errors.insert(errors.end(), more.begin(), more.end());
}

}  // namespace

SettingsSourceRegistration::SettingsSourceRegistration(const SettingsSource* source) {
  registered_sources().push_back(source);
}

uint16_t port_offset(const std::string& program) {
  if (program == "gateway")
    return kGatewayPortOffset;
  if (program == "agent")
    return kAgentPortOffset;
  if (program == "store")
    return kStorePortOffset;
  return kControllerPortOffset;
}

uint64_t random_number() {
  std::random_device device;
  uint64_t high = device();
  return (high << 32) ^ device();
}

std::variant<Settings, int> read_settings(int argc, const char** argv, const RequiredSettings& required) {
  Flags flags;
  auto errors = parse_flags(argc, argv, required, flags);
  if (flags.version) {
    printf("%s (mosskeel) %s\n", required.program, MOSSKEEL_VERSION);
    return 0;
  }
  Settings settings{};
  const auto* source = flags.any_setting() ? nullptr : applying_source();
  if (source && errors.empty()) {
    auto read = source->read(required.program);
    if (!read.ok())
      return report_errors(required, read.errors());
    settings = read.value();
  }
  if (flags.file)
    append(errors, read_file(flags.file, settings));
  apply_flags(flags, settings);
  append(errors, check(settings, required, source != nullptr));
  if (!errors.empty())
    return report_errors(required, errors);
  if (flags.check) {
    printf("%s: settings are good\n", required.program);
    return 0;
  }
  return settings;
}

}  // namespace mosskeel
