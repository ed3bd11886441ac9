#include "soak/fleet_under_test.hpp"

namespace mosskeel::soak {

namespace {

using platform_stub::AppReplica;
using platform_stub::ModelReplica;

constexpr Duration kPollInterval = 20ms;
constexpr Duration kProcessCheckInterval = 100ms;
/// How long the fleet may take to its first configuration and until all gateways are ready.
constexpr Duration kFoundingTimeout = 40000ms;
/// From the readiness of all gateways on until the replica list has reached them.
constexpr Duration kListPropagation = 2500ms;
/// Requests may stay open so long after the last one was sent; longer than all their attempts.
constexpr Duration kOpenRequestTimeout = 30000ms;

}  // namespace

FleetUnderTest::FleetUnderTest(const MachinesOptions& options, uint64_t seed)
    : machines(options),
      environment(machines.addresses(), true, seed),
      callers(environment),
      program_callers(environment, callers),
      fleet_operator(environment) {
  for (int zone = 0; zone < platform_stub::kZones; ++zone) {
    add_replica<ModelReplica>("model", zone);
    add_replica<AppReplica>("app", zone);
    add_replica<AppReplica>("app2", zone);
    slow_replicas_.push_back(&add_replica<AppReplica>("slow", zone));
  }
  list_server_ = std::make_unique<platform_stub::ReplicaListServer>(environment, [this] { return list_replicas(); });
  environment.may_lose_response = [this](const Address& gateway, MonotonicTime sent_at) {
    return may_lose_response(gateway, sent_at);
  };
  watch_processes();
}

void FleetUnderTest::watch_processes() {
  report_unexpected_ends();
  environment.loop.run_after(kProcessCheckInterval, [this] { watch_processes(); });
}

void FleetUnderTest::report_unexpected_ends() {
  for (const auto& end : machines.take_unexpected_ends())
    environment.checker.report_violation("a process ended by itself: " + end);
}

platform_stub::ListedReplica FleetUnderTest::list_replica(const std::string& service, int zone) {
  platform_stub::ListedReplica listed;
  listed.id = "i-" + environment.random_name();
  listed.service = service;
  listed.zone = platform_stub::kZoneNames[static_cast<size_t>(zone)];
  return listed;
}

platform_stub::EndlessReplica& FleetUnderTest::add_endless_replica(const std::string& service, int zone, uint32_t slots,
                                                                   platform_stub::EndlessAnswer answer) {
  auto listed = list_replica(service, zone);
  listed.slots = slots;
  endless_replicas_.push_back(std::make_unique<platform_stub::EndlessReplica>(std::move(listed), answer));
  return *endless_replicas_.back();
}

void FleetUnderTest::add_model_replica(const std::string& service, int zone) {
  add_replica<ModelReplica>(service, zone);
}

template <class Kind>
Kind& FleetUnderTest::add_replica(const std::string& service, int zone) {
  auto listed = list_replica(service, zone);
  listed.address = environment.addresses.replica(static_cast<int>(replicas_.size()));
  auto replica = std::make_unique<Kind>(environment, std::move(listed));
  auto& added = *replica;
  replicas_.push_back(std::move(replica));
  return added;
}

std::vector<platform_stub::ListedReplica> FleetUnderTest::list_replicas() const {
  std::vector<platform_stub::ListedReplica> listed;
  for (const auto& replica : replicas_)
    listed.push_back(replica->listed);
  for (const auto& replica : endless_replicas_)
    listed.push_back(replica->listed);
  return listed;
}

bool FleetUnderTest::may_lose_response(const Address& gateway, MonotonicTime sent_at) const {
  for (int index = 0; index < machines.machine_count(MachineClass::front); ++index) {
    if (environment.addresses.gateway(index) == gateway)
      return troubles.excuses_loss({MachineClass::front, index}, sent_at, monotonic_now());
  }
  return false;
}

bool FleetUnderTest::found() {
  machines.start_all();
  bool is_configured = false;
  fleet_operator.apply_first_configuration([&] { is_configured = true; });
  bool is_ready = run_until(kFoundingTimeout, [&] { return is_configured && callers.all_gateways_ready(); });
  if (!is_ready)
    environment.checker.report_violation("not all gateways are ready");
  run_for(kListPropagation);
  return is_ready;
}

void FleetUnderTest::run_for(Duration time) {
  environment.loop.run_after(time, [this] { environment.loop.stop(); });
  environment.loop.run();
}

bool FleetUnderTest::run_until(Duration time, const std::function<bool()>& condition) {
  for (auto end = monotonic_now() + time; !condition();) {
    if (monotonic_now() >= end)
      return false;
    run_for(kPollInterval);
  }
  return true;
}

void FleetUnderTest::restart_in_order(MachineId machine) {
  troubles.on_stop_requested(machine, monotonic_now());
  machines.send_signal(machine, SIGTERM);
  run_until(kShutdownGrace, [&] { return !machines.is_running(machine); });
  machines.kill(machine);
  machines.start(machine);
}

void FleetUnderTest::crash(const std::vector<MachineId>& crashed, Duration downtime, bool loses_disk) {
  for (auto machine : crashed) {
    troubles.on_trouble_begun(machine, monotonic_now());
    machines.kill(machine);
    if (loses_disk)
      machines.lose_disk(machine);
  }
  run_for(downtime);
  for (auto machine : crashed) {
    machines.start(machine);
    troubles.on_trouble_ended(machine, monotonic_now());
  }
}

void FleetUnderTest::stop_in_order() {
  machines.stop_all();
  run_until(kShutdownGrace, [&] { return machines.running_daemons().empty(); });
  for (const auto& daemon : machines.running_daemons())
    environment.checker.report_violation(daemon + " has not ended at the end of the grace after SIGTERM");
  report_unexpected_ends();
}

void FleetUnderTest::finish_requests() {
  if (!run_until(kOpenRequestTimeout, [&] { return callers.open_requests() == 0; }))
    environment.checker.report_violation("requests stay open");
}

void FleetUnderTest::set_slow_execution_time(Duration time) {
  for (auto* replica : slow_replicas_)
    replica->extra_execution_time = time;
}

}  // namespace mosskeel::soak
