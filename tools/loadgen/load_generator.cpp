#include "load_generator.hpp"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

#include "clock.hpp"
#include "fault_injector.hpp"

namespace mosskeel::loadgen {

bool Failure::is_final() const {
  return reason.find("will not be run again") != std::string::npos || reason.find("kept outcome") != std::string::npos;
}

Failure read_failure(const std::string& body) {
  Failure failure{.ran = "", .reason = "", .retry_after = kDefaultRetryDelay};
  auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object())
    return failure;
  failure.ran = json.value("ran", "");
  failure.reason = json.value("reason", "");
  failure.retry_after = Duration(json.value("retry_after_ms", kDefaultRetryDelay.count()));
  return failure;
}

Address LoadGenerator::ready_gateway() {
  auto gateway = gateways_.any();
  if (gateway.empty())
    sleep_for(kDefaultRetryDelay);
  return gateway;
}

void LoadGenerator::note_not_run(const std::string& request) {
  std::lock_guard lock(mutex_);
  not_run_.insert(request);
}

void LoadGenerator::count_attempt(const std::string& what, long status, const std::string& ran) {
  std::string outcome = "no session";
  if (status)
    outcome = std::to_string(status) + (ran.empty() ? "" : " ran " + ran);
  report_.count(what + " try " + outcome);
}

/// Begins programs at the plan's rate and waits until all have ended.
void LoadGenerator::run_load() {
  std::vector<std::thread> threads;
  std::optional<FaultInjector> faults;
  if (!plan_.fault_targets.empty())
    faults.emplace(plan_, report_);
  auto begun = clock_ms();
  for (uint64_t number = 0; clock_ms() - begun < plan_.seconds * 1000.0; ++number) {
    threads.emplace_back([this, number] { run_program(number); });
    threads.emplace_back([this, number] { run_tool_calls(number); });
    auto next_start = begun + static_cast<double>(number + 1) * 1000.0 / plan_.rate;
    if (auto wait = next_start - clock_ms(); wait > 0)
      sleep_for(Duration(static_cast<int64_t>(wait)));
  }
  faults.reset();
  for (auto& thread : threads)
    thread.join();
  report_.count("seconds", static_cast<uint64_t>((clock_ms() - begun) / 1000));
}

void LoadGenerator::write_report() {
  fputs(report_.as_text().c_str(), stdout);
  if (plan_.report_file.empty())
    return;
  if (FILE* file = fopen(plan_.report_file.c_str(), "w")) {
    fputs(report_.as_json().c_str(), file);
    fclose(file);
  }
}

int LoadGenerator::run() {
  run_load();
  for (const auto& [program, turns] : turns_by_program_)
    check_history(program, turns);
  check_runs();
  write_report();
  return report_.violation_count() ? 1 : 0;
}

}  // namespace mosskeel::loadgen
