#include "soak/absent_fronts.hpp"

#include <csignal>

namespace mosskeel::soak {

namespace {

/// In one change, which a controller takes up to 1 MiB of.
constexpr int kRoutes = 2800;
/// Together a few times what a daemon may hold in memory, were each kept for each machine that is away.
constexpr int kChangesWhileAway = 60;
constexpr int kReturns = 4;
constexpr int kChangesBetweenReturns = 12;
constexpr Duration kChangeTimeout = 15000ms;
/// Until it is known that a machine is down.
constexpr Duration kDetectionTime = 4000ms;

class AbsentFronts {
 public:
  explicit AbsentFronts(FleetUnderTest& fleet) : fleet_(fleet) {
    for (int index = 1; index < fleet.machines.machine_count(MachineClass::front); ++index)
      fronts_.push_back({MachineClass::front, index});
  }

  bool add_routes(int count) {
    bool is_done = false;
    fleet_.fleet_operator.add_routes(count, [&] { is_done = true; });
    return finish_change(is_done);
  }

  bool are_killed() {
    kill();
    fleet_.run_for(kDetectionTime);
    bool is_changed = change(kChangesWhileAway) && add_routes(1);
    start();
    return is_changed && serve_newest_route("killed");
  }

  bool are_frozen() {
    for (auto front : fronts_) {
      fleet_.troubles.on_trouble_begun(front, monotonic_now());
      fleet_.machines.send_signal(front, SIGSTOP);
    }
    bool is_changed = change(kChangesWhileAway) && add_routes(1);
    for (auto front : fronts_) {
      fleet_.machines.send_signal(front, SIGCONT);
      fleet_.troubles.on_trouble_ended(front, monotonic_now());
    }
    return is_changed && serve_newest_route("frozen");
  }

  bool return_again_and_again() {
    for (int round = 0; round < kReturns; ++round) {
      kill();
      if (!change(kChangesBetweenReturns))
        return false;
      start();
      if (!change(kChangesBetweenReturns) || !add_routes(1))
        return false;
    }
    return serve_newest_route("killed again and again");
  }

 private:
  bool finish_change(const bool& is_done) {
    return fleet_.run_until(kChangeTimeout, [&] { return is_done; }) && fleet_.environment.checker.violations() == 0;
  }

  bool change(int count) {
    for (int number = 0; number < count; ++number) {
      bool is_done = false;
      fleet_.fleet_operator.revise([&] { is_done = true; });
      if (!finish_change(is_done))
        return false;
    }
    return true;
  }

  void kill() {
    for (auto front : fronts_) {
      fleet_.troubles.on_trouble_begun(front, monotonic_now());
      fleet_.machines.kill(front);
    }
  }

  void start() {
    for (auto front : fronts_) {
      fleet_.machines.start(front);
      fleet_.troubles.on_trouble_ended(front, monotonic_now());
    }
  }

  /// Each front serves the route that was added last.
  bool serve_newest_route(const std::string& after) {
    for (auto front : fronts_) {
      bool is_served = fleet_.run_until(kRecoveryTime, [&] { return serves_newest_route(front); });
      if (!is_served) {
        fleet_.environment.checker.report_violation(name(front) + " does not serve the newest route " +
                                                    std::to_string(kRecoveryTime.count()) + " ms after it was " +
                                                    after);
        return false;
      }
    }
    printf("all fronts serve the newest route after they were %s\n", after.c_str());
    fflush(stdout);
    return true;
  }

  bool serves_newest_route(MachineId front) {
    auto request = std::make_shared<platform_stub::CallerRequest>();
    bool is_done = false;
    bool is_success = false;
    request->route = "unused-" + std::to_string(fleet_.fleet_operator.route_count() - 1);
    request->only_gateway = fleet_.environment.addresses.gateway(front.index);
    request->on_done = [&](const platform_stub::RequestResult& result) {
      is_done = true;
      is_success = result.is_success;
    };
    fleet_.callers.send(request);
    fleet_.run_until(2 * platform_stub::kDefaultRequestTimeout, [&] { return is_done; });
    return is_success;
  }

  FleetUnderTest& fleet_;
  std::vector<MachineId> fronts_;
};

}  // namespace

void play_absent_fronts(FleetUnderTest& fleet) {
  AbsentFronts absent(fleet);
  if (absent.add_routes(kRoutes) && absent.are_killed() && absent.are_frozen())
    absent.return_again_and_again();
}

}  // namespace mosskeel::soak
