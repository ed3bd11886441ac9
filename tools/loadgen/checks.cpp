// What is checked when the load has ended: the histories that the fleet keeps, and what the replicas ran.
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "clock.hpp"
#include "load_generator.hpp"
#include "net/http_fetch.hpp"

namespace mosskeel::loadgen {
namespace {

constexpr int kReadBackAttempts = 60;
constexpr Duration kReadBackInterval = 250ms;

}  // namespace

void LoadGenerator::check_history(const std::string& program, const TurnResults& turns) {
  auto succeeded = [](const TurnResult& turn) {
    return turn.success;
  };
  if (std::none_of(turns.begin(), turns.end(), succeeded))
    return;
  std::string reason;
  for (int attempt = 0; attempt < kReadBackAttempts; ++attempt) {
    if (check_history_once(program, turns, reason))
      return;
    sleep_for(kReadBackInterval);
  }
  report_.add_violation("program " + program + " cannot be read back: " + reason);
}

/// False, with the reason, if the history could not be read.
bool LoadGenerator::check_history_once(const std::string& program, const TurnResults& turns, std::string& reason) {
  FetchRequest request;
  request.url = "http://" + gateways_.any() + "/v1/cells/" + plan_.cell + "/programs/" + program;
  auto response = http_fetch(request);
  if (response.status == 404) {
    report_.add_violation("a kept program was reported missing: " + program);
    return true;
  }
  auto history = nlohmann::json::parse(response.body, nullptr, false);
  if (response.status != 200 || !history.is_object()) {
    reason = response.error.empty() ? response.body : response.error;
    return false;
  }
  std::map<std::string, std::string> kept_outputs;
  for (const auto& turn : history["turns"]) {
    if (turn["status"] == 200)
      kept_outputs[turn["key"]] = turn["output"];
  }
  for (const auto& turn : turns) {
    if (turn.success && kept_outputs[turn.key] != turn.output)
      report_.add_violation("kept turn " + turn.key + " of " + program + " is gone or changed");
  }
  auto tokens = history["tokens"]["spent"].get<uint64_t>() + history["tokens"]["reserved"].get<uint64_t>();
  if (tokens > plan_.budget + plan_.turn_limit)
    report_.add_violation("program " + program + " spent " + std::to_string(tokens) + " tokens");
  report_.count("programs read back");
  return true;
}

/// How often each request ran, by what the replicas wrote: a line a run, which begins with the request's name.
std::map<std::string, int> LoadGenerator::read_runs() const {
  std::map<std::string, int> runs;
  for (const auto& entry : std::filesystem::directory_iterator(plan_.runs_folder)) {
    if (!entry.path().filename().string().starts_with("runs-"))
      continue;
    std::ifstream file(entry.path());
    for (std::string line; std::getline(file, line);)
      ++runs[line.substr(0, line.find('\t'))];
  }
  return runs;
}

void LoadGenerator::check_runs() {
  if (plan_.runs_folder.empty())
    return;
  auto runs = read_runs();
  for (const auto& [request, count] : runs) {
    if (count > 1)
      report_.add_violation("ran " + std::to_string(count) + " times: " + request);
  }
  for (const auto& request : not_run_) {
    if (runs.count(request))
      report_.add_violation("refused as not run, yet ran: " + request);
  }
  for (const auto& [program, turns] : turns_by_program_) {
    for (const auto& turn : turns) {
      if (turn.success && !runs.count(plan_.cell + "/" + program + "/" + turn.key))
        report_.add_violation("a success that no replica ran: " + turn.key);
    }
  }
  report_.count("runs checked", runs.size());
}

}  // namespace mosskeel::loadgen
