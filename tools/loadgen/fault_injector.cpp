#include "fault_injector.hpp"

#include <nlohmann/json.hpp>

#include "clock.hpp"
#include "net/http_fetch.hpp"

namespace mosskeel::loadgen {
namespace {

constexpr Duration kPollInterval = 50ms;
/// Between faults, and a random part on top.
constexpr Duration kFaultInterval = 2000ms;
constexpr Duration kFaultIntervalRange = 2000ms;
/// How long a process stays killed or frozen.
constexpr Duration kLeastOutage = 500ms;
constexpr Duration kKilledRange = 4000ms;
constexpr Duration kFrozenRange = 6000ms;
/// A stopped process takes a while to end; it can be started only then.
constexpr int kStartAttempts = 200;

}  // namespace

FaultInjector::FaultInjector(const Plan& plan, LoadReport& report)
    : plan_(plan), report_(report), random_(plan.fault_seed), thread_([this] { work(); }) {}

FaultInjector::~FaultInjector() {
  stop_ = true;
  thread_.join();
}

bool FaultInjector::act(const std::string& action, const std::string& name) {
  FetchRequest request;
  request.method = "POST";
  request.url = "http://" + plan_.control_address + "/" + action + "/" + name;
  auto done = http_fetch(request).status == 200;
  if (done) {
    auto kind = name.substr(0, name.find_first_of("0123456789"));
    report_.count("harm " + action + " " + kind);
  }
  return done;
}

std::vector<std::string> FaultInjector::targets() {
  FetchRequest request;
  request.url = "http://" + plan_.control_address + "/fleet";
  auto processes = nlohmann::json::parse(http_fetch(request).body, nullptr, false);
  std::vector<std::string> names;
  if (!processes.is_array())
    return names;
  for (const auto& process : processes) {
    auto name = process["name"].get<std::string>();
    for (const auto& target : plan_.fault_targets) {
      if (process["program"] == target || name.starts_with(target))
        names.push_back(name);
    }
  }
  return names;
}

void FaultInjector::wait(Duration duration) {
  for (auto left = duration; left > 0ms && !stop_; left -= kPollInterval)
    sleep_for(kPollInterval);
}

Duration FaultInjector::random_wait(Duration least, Duration range) {
  return least + Duration(random_() % static_cast<uint64_t>(range.count()));
}

void FaultInjector::inject(const std::string& target) {
  enum Fault { kill, freeze, stop };
  constexpr int fault_count = 3;
  switch (static_cast<Fault>(random_() % fault_count)) {
    case kill:
      act("kill", target);
      wait(random_wait(kLeastOutage, kKilledRange));
      act("start", target);
      break;
    case freeze:
      act("freeze", target);
      wait(random_wait(kLeastOutage, kFrozenRange));
      act("wake", target);
      break;
    case stop:
      act("stop", target);
      for (int attempt = 0; attempt < kStartAttempts && !act("start", target); ++attempt)
        sleep_for(kPollInterval);
      break;
  }
}

void FaultInjector::work() {
  wait(kFaultInterval);
  while (!stop_) {
    auto names = targets();
    if (names.empty())
      return;
    inject(names[random_() % names.size()]);
    wait(random_wait(kFaultInterval, kFaultIntervalRange));
  }
}

}  // namespace mosskeel::loadgen
