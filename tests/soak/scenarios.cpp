#include "soak/scenarios.hpp"

#include <algorithm>
#include <span>

#include "soak/absent_fronts.hpp"
#include "soak/endless_answers.hpp"
#include "soak/large_program.hpp"

namespace mosskeel::soak {

namespace {

/// What a machine that is gone is away for, as a platform's restarts are.
constexpr Duration kDowntime = 2000ms;
/// From the start of a machine to the next one's turn, where machines are restarted one after the other.
constexpr Duration kRestartInterval = 4000ms;

// ---- late-requests -------------------------------------------------------------------------------------------------

/// Callers with a connection each to the gateway that stops.
constexpr int kLateCallers = 20;
/// From SIGTERM to the first and the last of their requests: just after the time in which a replica at work excuses.
constexpr Duration kFirstLateRequest = 3030ms;
constexpr Duration kLateRequestInterval = 7ms;
/// Longer than the rest of the grace, shorter than the route's time.
constexpr Duration kLongWork = 5300ms;

/// @param category where they are counted; empty for not at all.
void send_slow_requests(FleetUnderTest& fleet, const Address& gateway, Duration interval, const std::string& category) {
  for (int caller = 0; caller < kLateCallers; ++caller) {
    fleet.environment.loop.run_after(interval * caller, [&fleet, gateway, category] {
      auto request = std::make_shared<platform_stub::CallerRequest>();
      request->kind = platform_stub::RequestKind::unsafe;
      request->route = "slow";
      request->category = category;
      request->body = "pull " + fleet.environment.random_name();
      request->timeout = platform_stub::kSlowRouteTimeout;
      request->connection_use = platform_stub::ConnectionUse::kept;
      request->only_gateway = gateway;
      fleet.callers.send(request);
    });
  }
}

void play_late_requests(FleetUnderTest& fleet) {
  const MachineId stopping{MachineClass::front, 0};
  auto gateway = fleet.environment.addresses.gateway(stopping.index);
  send_slow_requests(fleet, gateway, 0ms, "slow");
  bool are_served = fleet.run_until(platform_stub::kSlowRouteTimeout,
                                    [&] { return fleet.environment.served.served() == kLateCallers; });
  if (!are_served)
    return fleet.environment.checker.report_violation("the requests before the stop are not served");
  fleet.set_slow_execution_time(kLongWork);
  fleet.environment.loop.run_after(kFirstLateRequest,
                                   [&] { send_slow_requests(fleet, gateway, kLateRequestInterval, ""); });
  fleet.restart_in_order(stopping);
  fleet.finish_requests();
}

// ---- large-history -------------------------------------------------------------------------------------------------

/// 150 turns of 31,000 bytes: more than a store's inbox once took in one message.
constexpr ProgramSize kLargeProgram{.lines = 50, .turns_a_line = 3, .input_bytes = 31000};
constexpr ProgramSize kSmallProgram{.lines = 4, .turns_a_line = 2, .input_bytes = 100};
constexpr Duration kBuildTimeout = 60000ms;

/// One thing that a fleet must bear.
struct Step {
  const char* name;
  std::function<void(FleetUnderTest&)> play;
};

/// Programs that were served before, and must go on being served after every step.
class Programs {
 public:
  Programs(FleetUnderTest& fleet, ProgramSize larger)
      : fleet_(fleet), large_(fleet, larger), small_(fleet, kSmallProgram) {}

  bool build() {
    bool is_built = small_.build(kBuildTimeout) && large_.build(kBuildTimeout);
    if (!is_built)
      fleet_.environment.checker.report_violation("the programs' first turns are not served");
    return is_built;
  }
  /// Plays the steps until one leaves a program unserved.
  void play(std::span<const Step> steps) {
    for (const auto& step : steps) {
      step.play(fleet_);
      if (!go_on(step.name))
        return;
      printf("served after %s\n", step.name);
      fflush(stdout);
    }
  }

 private:
  /// @param after what has happened, for the report.
  bool go_on(const std::string& after) {
    auto large_line = fleet_.environment.random_below(large_.lines());
    auto small_line = fleet_.environment.random_below(small_.lines());
    return check("large", large_.continue_line(large_line, kRecoveryTime), after) &&
           check("small", small_.continue_line(small_line, kRecoveryTime), after);
  }

  bool check(const std::string& which, bool is_served, const std::string& after) {
    if (!is_served)
      fleet_.environment.checker.report_violation("the " + which + " program is not served " +
                                                  std::to_string(kRecoveryTime.count()) + " ms after " + after);
    return is_served;
  }

  FleetUnderTest& fleet_;
  LargeProgram large_;
  LargeProgram small_;
};

void restart_in_turn(FleetUnderTest& fleet, MachineClass machine_class) {
  for (int index = 0; index < fleet.machines.machine_count(machine_class); ++index) {
    fleet.restart_in_order({machine_class, index});
    fleet.run_for(kRestartInterval);
  }
}

void crash_all(FleetUnderTest& fleet, MachineClass machine_class) {
  std::vector<MachineId> all;
  for (int index = 0; index < fleet.machines.machine_count(machine_class); ++index)
    all.push_back({machine_class, index});
  fleet.crash(all, kDowntime, false);
}

/// One after the other, each as soon as the one before no longer counts as lost.
void lose_disks_in_turn(FleetUnderTest& fleet) {
  for (int index = 0; index < fleet.machines.machine_count(MachineClass::storage); ++index) {
    fleet.crash({{MachineClass::storage, index}}, kDowntime, true);
    fleet.run_for(kCatchUpTime);
  }
}

void evacuate_and_restore(FleetUnderTest& fleet) {
  bool is_evacuated = false;
  fleet.fleet_operator.evacuate(platform_stub::kZoneNames.front(), [&] { is_evacuated = true; });
  fleet.run_until(kRecoveryTime, [&] { return is_evacuated; });
  fleet.run_for(kRestartInterval);
  fleet.fleet_operator.restore(platform_stub::kZoneNames.front());
}

void play_large_history(FleetUnderTest& fleet) {
  const Step steps[] = {
      {"the stores lost their disks, one after the other", lose_disks_in_turn},
      {"all gateways were killed",
       [](FleetUnderTest& f) {
         crash_all(f, MachineClass::front);
       }},
      {"the gateways were restarted in turn",
       [](FleetUnderTest& f) {
         restart_in_turn(f, MachineClass::front);
       }},
      {"the stores were restarted in turn",
       [](FleetUnderTest& f) {
         restart_in_turn(f, MachineClass::storage);
       }},
      {"a zone was evacuated", evacuate_and_restore},
      {"all stores were killed",
       [](FleetUnderTest& f) {
         crash_all(f, MachineClass::storage);
       }},
  };
  Programs programs(fleet, kLargeProgram);
  if (programs.build())
    programs.play(steps);
}

// ---- large-configuration -------------------------------------------------------------------------------------------

/// Together more than a store's inbox takes beside anything else; each change is as large as a controller takes.
constexpr int kRoutesAChange = 2000;
constexpr size_t kLargeConfigurationBytes = 5u << 20;
/// Of one change: each daemon takes over the whole configuration.
constexpr Duration kChangeTimeout = 20000ms;

bool grow_configuration(FleetUnderTest& fleet) {
  while (fleet.fleet_operator.configuration_bytes() < kLargeConfigurationBytes) {
    bool is_done = false;
    fleet.fleet_operator.add_routes(kRoutesAChange, [&] { is_done = true; });
    if (!fleet.run_until(kChangeTimeout, [&] { return is_done; }) || fleet.environment.checker.violations() > 0)
      return false;
  }
  return true;
}

void play_large_configuration(FleetUnderTest& fleet) {
  const Step steps[] = {
      {"the stores lost their disks, one after the other", lose_disks_in_turn},
      {"the controllers were restarted in turn",
       [](FleetUnderTest& f) {
         restart_in_turn(f, MachineClass::core);
       }},
      {"the gateways were restarted in turn",
       [](FleetUnderTest& f) {
         restart_in_turn(f, MachineClass::front);
       }},
      {"all stores were killed",
       [](FleetUnderTest& f) {
         crash_all(f, MachineClass::storage);
       }},
  };
  Programs programs(fleet, kSmallProgram);
  if (!programs.build() || !grow_configuration(fleet))
    return;
  programs.play(steps);
  bool is_read_back = false;
  fleet.fleet_operator.read_back([&] { is_read_back = true; });
  fleet.run_until(kChangeTimeout, [&] { return is_read_back; });
}

}  // namespace

const std::vector<Scenario>& scenarios() {
  static const std::vector<Scenario> all = {
      {"late-requests", "requests that came late in a graceful stop were passed on and cut at its end",
       play_late_requests},
      {"large-history", "a history larger than a message held its partition on two stores, and could not be opened",
       play_large_history},
      {"large-configuration", "a configuration larger than a message reached no store", play_large_configuration},
      {"absent-fronts", "each change of a configuration cost a controller memory for each front that was away",
       play_absent_fronts},
      {"endless-answers", "a back end that sent bytes without end took all of a gateway's memory",
       play_endless_answers},
      {"endless-answers-half-core", "the same, and a gateway with half a core served nobody else meanwhile",
       play_endless_answers_on_half_a_core},
  };
  return all;
}

}  // namespace mosskeel::soak
