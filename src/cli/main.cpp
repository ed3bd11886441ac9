// The operators' command-line client: sends a command to a controller and prints the response.
#include <curl/curl.h>
#include <popt.h>

#include <cstdio>
#include <fstream>
#include <sstream>

#include "net/http_fetch.hpp"

using namespace mosskeel;

namespace {

constexpr const char* kDefaultControllers = "127.0.0.1:8101";

/// Exit codes; see docs/operators.md.
constexpr int kExitYes = 0;
constexpr int kExitNo = 1;
constexpr int kExitUsage = 2;
constexpr int kExitUnknown = 3;

/// The options of the command line.
struct Options {
  /// HTTP addresses, tried in this order.
  std::vector<std::string> controllers;
  /// The id of an earlier change whose outcome was unknown; empty for a new change.
  std::string commit_id;
  /// The arguments, joined by single spaces.
  std::string command;
};

struct PoptContextDeleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};

int usage_error(const std::string& reason) {
  fprintf(stderr, "mosskeelctl: %s; see mosskeelctl --help\n", reason.c_str());
  return kExitUsage;
}

std::vector<std::string> split_at_commas(const std::string& text) {
  std::vector<std::string> parts;
  std::stringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');)
    parts.push_back(part);
  return parts;
}

/// Returns the options, or an exit code if they are invalid or only ask for the version.
std::variant<Options, int> parse_options(int argc, const char** argv) {
  char* controllers = nullptr;
  char* commit_id = nullptr;
  int print_version = 0;
  poptOption table[] = {
      {"controllers", 'm', POPT_ARG_STRING, &controllers, 0,
       "HTTP addresses of controllers, tried in turn (default 127.0.0.1:8101)", "A,B,C"},
      {"id", 'i', POPT_ARG_STRING, &commit_id, 0, "the id of an earlier change whose outcome was unknown", "ID"},
      {"version", 'V', POPT_ARG_NONE, &print_version, 0, "print the version, then exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  std::unique_ptr<std::remove_pointer_t<poptContext>, PoptContextDeleter> context(
      poptGetContext("mosskeelctl", argc, argv, table, 0));
  poptSetOtherOptionHelp(context.get(),
                         "[OPTIONS] COMMAND...\nQueries or changes the fleet. Exit: 0 yes, 1 no, 2 usage, 3 unknown.");
  int error = poptGetNextOpt(context.get());
  if (error < -1)
    return usage_error(poptStrerror(error));
  if (print_version) {
    printf("mosskeelctl (mosskeel) %s\n", MOSSKEEL_VERSION);
    return kExitYes;
  }
  Options options;
  while (const char* argument = poptGetArg(context.get())) {
    if (!options.command.empty())
      options.command += " ";
    options.command += argument;
  }
  if (options.command.empty())
    return usage_error("the command is missing");
  options.controllers = split_at_commas(controllers ? controllers : kDefaultControllers);
  if (commit_id)
    options.commit_id = commit_id;
  return options;
}

/// Sends the request to the controllers in turn until one responds; returns no value if none does.
std::optional<FetchResponse> send_to_controllers(const Options& options, const std::string& method,
                                                 const std::string& path, const std::string& body) {
  FetchRequest request;
  request.method = method;
  request.body = body;
  if (!options.commit_id.empty())
    request.headers["Idempotency-Key"] = options.commit_id;
  for (const auto& controller : options.controllers) {
    request.url = "http://" + controller + path;
    auto response = http_fetch(request);
    if (response.status && response.status != 503)
      return response;
  }
  return std::nullopt;
}

/// The command `apply FILE at REVISION`, which sends the contents of the file.
struct ApplyCommand {
  std::string file;
  std::string revision;
};

std::optional<ApplyCommand> parse_apply(const std::string& command) {
  std::istringstream arguments(command);
  std::string verb;
  std::string file;
  std::string preposition;
  std::string revision;
  std::string extra_argument;
  if (!(arguments >> verb >> file >> preposition >> revision) || arguments >> extra_argument)
    return std::nullopt;
  if (verb != "apply" || preposition != "at")
    return std::nullopt;
  return ApplyCommand{file, revision};
}

int apply_configuration(const Options& options, const ApplyCommand& command) {
  std::ifstream file(command.file);
  std::stringstream configuration;
  configuration << file.rdbuf();
  if (!file)
    return usage_error("file " + command.file + " cannot be read");
  auto path = "/v1/cluster/configuration?revision=" + command.revision;
  auto response = send_to_controllers(options, "PUT", path, configuration.str());
  if (!response) {
    puts("unknown: no controller responded; retry with the same --id or show the revision");
    return kExitUnknown;
  }
  bool applied = response->status == 200;
  printf("%s: %s", applied ? "yes" : "no", response->body.c_str());
  return applied ? kExitYes : kExitNo;
}

int run_command(const Options& options) {
  auto response = send_to_controllers(options, "POST", "/v1/say", options.command);
  if (!response) {
    puts("unknown: no controller responded");
    return kExitUnknown;
  }
  fputs(response->body.c_str(), stdout);
  if (response->body.starts_with("yes"))
    return kExitYes;
  return response->body.starts_with("no") ? kExitNo : kExitUnknown;
}

}  // namespace

int main(int argc, const char** argv) {
  auto parsed = parse_options(argc, argv);
  if (auto* exit_code = std::get_if<int>(&parsed))
    return *exit_code;
  const auto& options = std::get<Options>(parsed);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  auto apply = parse_apply(options.command);
  return apply ? apply_configuration(options, *apply) : run_command(options);
}
