// The steps of a fleet run in which something happens to it: a new gateway, a zone that fails, restarts in a row, a
// region that is cut off.
#include <algorithm>
#include <sstream>

#include "consensus/constants.hpp"
#include "replication/constants.hpp"
#include "runtime/constants.hpp"
#include "scale/fleet_run.hpp"

namespace mosskeel::scale {
namespace {

constexpr int kChangesWhileCut = 2;

}  // namespace

void FleetRun::add_new_gateway() {
  auto& process = *hollow_processes_.back();
  process.execute("stop 0");
  sleep_for(kHeartbeatTimeout * 2);
  wait_until_calm("newcomer gone", all_daemons() - 1);
  auto epoch = client_.view()->epoch;
  auto begun = machine_now();
  process.execute("start 0");
  while (true) {
    std::istringstream times(process.execute("known " + std::to_string(epoch.value())));
    int64_t known_at = -1;
    times >> known_at;
    if (known_at >= 0) {
      record("newcomer", "whole_value.ms", as_milliseconds(from_milliseconds(known_at) - begun));
      break;
    }
    if (machine_now() - begun > kFleetCalmTimeout) {
      fail("the newcomer never had the value");
      return;
    }
    sleep_for(kTickInterval / 4);
  }
  wait_until_calm("newcomer", all_daemons());
  record("newcomer", "joined.ms", as_milliseconds(machine_now() - begun));
}

size_t FleetRun::count_up() {
  auto view = client_.view();
  auto is_up = [](const auto& entry) {
    return entry.second.state == DaemonState::up;
  };
  return static_cast<size_t>(std::count_if(view->directory.begin(), view->directory.end(), is_up));
}

void FleetRun::fail_zone() {
  auto daemons_in_zone = options_.plan.daemons / options_.plan.zones;
  auto process_count = std::max<size_t>(1, static_cast<size_t>(daemons_in_zone / options_.daemons_per_process));
  auto begun = machine_now();
  auto epoch_before = client_.view()->epoch;
  size_t failed = 0;
  for (size_t index = 0; index < process_count; ++index) {
    hollow_processes_[index]->execute_for_all("stop");
    failed += static_cast<size_t>(hollow_processes_[index]->daemon_count());
  }
  while (count_up() + failed > all_daemons()) {
    if (machine_now() - begun > kFleetCalmTimeout) {
      fail("the zone was never marked down");
      return;
    }
    sleep_for(kFleetPollInterval);
  }
  record("zone", "daemons", static_cast<double>(failed));
  record("zone", "down.ms", as_milliseconds(machine_now() - begun));
  record("zone", "down.epochs", static_cast<double>(client_.view()->epoch.value() - epoch_before.value()));
  wait_until_calm("zone down", all_daemons() - failed);
  auto epoch_down = client_.view()->epoch;
  for (size_t index = 0; index < process_count; ++index)
    hollow_processes_[index]->execute_for_all("start");
  record("zone", "back.ms", as_milliseconds(wait_until_calm("zone back", all_daemons())));
  record("zone", "back.epochs", static_cast<double>(client_.view()->epoch.value() - epoch_down.value()));
}

void FleetRun::restart_gateways() {
  auto before = client_.view();
  std::vector<double> durations;
  for (int number = 0; number < options_.restarts; ++number) {
    auto process_count = static_cast<int>(hollow_processes_.size());
    auto& process = *hollow_processes_[static_cast<size_t>(number % process_count)];
    auto daemon = std::to_string(number / process_count % process.daemon_count());
    process.execute("stop " + daemon);
    process.execute("start " + daemon);
    sleep_for(kHeartbeatInterval);
    auto duration = wait_until_calm("restart", all_daemons()) + kHeartbeatInterval;
    durations.push_back(as_milliseconds(duration));
  }
  if (durations.empty())
    return;
  std::sort(durations.begin(), durations.end());
  auto count = static_cast<double>(durations.size());
  record("restarts", "count", count);
  record("restarts", "one.ms.p50", durations[durations.size() / 2]);
  record("restarts", "one.ms.max", durations.back());
  auto after = client_.view();
  auto epochs = static_cast<double>(after->epoch.value() - before->epoch.value());
  auto bytes = static_cast<double>(codec::encode(*after).size()) - static_cast<double>(codec::encode(*before).size());
  record("restarts", "epochs.one", epochs / count);
  record("restarts", "value_bytes.one", bytes / count);
}

/// The last hollow process is a region of its own: it receives nothing, and one controller is frozen.
void FleetRun::cut_region() {
  auto& region = *hollow_processes_.back();
  std::string cut_all = "cut";
  for (const auto& process : real_fleet_.list())
    cut_all += " " + process.listen_address;
  for (int number = 0; number < hollow_daemons() - region.daemon_count(); ++number)
    cut_all += " " + local_address(options_, kHollowPortOffset + number);
  real_fleet_.act("freeze", "controller2");
  auto all_controllers = client_.controllers;
  client_.controllers = {all_controllers[0], all_controllers[2]};
  region.execute(cut_all);
  sleep_for(kCutWindow / 2);
  int acknowledged = 0;
  for (int number = 0; number < kChangesWhileCut; ++number)
    acknowledged += change_budget().committed;
  record("region", "changes_acknowledged_while_cut", acknowledged);
  sleep_for(kCutWindow / 2);
  real_fleet_.act("wake", "controller2");
  auto healed = machine_now();
  region.execute("cut");
  record("region", "cut_off", region.daemon_count());
  auto epoch = client_.view()->epoch;
  client_.controllers = all_controllers;
  auto durations = wait_until_known(epoch, healed);
  std::erase_if(durations, [](double duration) { return duration < 0; });
  record("region", "had_to_catch_up", static_cast<double>(durations.size()));
  record_distribution("region", durations);
  record("region", "calm.ms", as_milliseconds(wait_until_calm("region back", all_daemons())));
}

void FleetRun::check_values() {
  sleep_for(kIsolationTimeout);
  auto view = client_.view();
  auto expected = std::to_string(view->epoch.value()) + ":" + fingerprint(*view);
  size_t equal = 0;
  size_t all = 0;
  for (auto& process : hollow_processes_) {
    std::istringstream values(process->execute("values"));
    for (std::string value; values >> value; ++all)
      equal += value == expected;
    std::istringstream state(process->execute("state"));
    double sent = 0;
    double dropped = 0;
    double epoch_regressions = 0;
    state >> sent >> dropped >> epoch_regressions;
    if (epoch_regressions > 0)
      fail("an epoch went backwards");
  }
  record("values", "hollow", static_cast<double>(all));
  record("values", "equal", static_cast<double>(equal));
  if (equal != all)
    fail("not all hold the same value at epoch " + std::to_string(view->epoch.value()));
  if (view->revision < acknowledged_revision_)
    fail("an acknowledged revision is lost");
  for (const auto& process : real_fleet_.list()) {
    if (!process.pid)
      fail(process.name + " has died");
  }
}

}  // namespace mosskeel::scale
