// The controller daemon, a member of the core: connects the state machine, its host, the admin API and service
// discovery.
#include <curl/curl.h>

#include "control/admin_api.hpp"
#include "control/replica_poller.hpp"
#include "runtime/daemon.hpp"

using namespace mosskeel;

namespace {

constexpr const char* kProgram = "controller";

RequiredSettings required_settings() {
  RequiredSettings required{};
  required.program = kProgram;
  required.purpose = "A core daemon: stores the metadata log, serves operators and the platform.";
  required.listen = true;
  required.http = true;
  required.zone = true;
  required.seeds = true;
  required.data = true;
  required.core_size = true;
  return required;
}

Identity make_identity(const Settings& settings, Incarnation incarnation) {
  Identity identity{};
  identity.self.incarnation = incarnation;
  identity.self.role = Role::controller;
  identity.self.zone = settings.zone;
  identity.self.address = settings.listen_address;
  identity.self.http_address = settings.http_address;
  identity.self.machine = settings.machine;
  identity.seeds = settings.seeds;
  identity.core_size = settings.core_size;
  identity.random_seed = random_number();
  identity.commit_attempt_timeout = settings.commit_attempt_timeout;
  identity.forbid_founding = settings.forbid_founding;
  identity.max_core_size = settings.max_core_size;
  identity.replication_factor = settings.replication_factor;
  if (identity.replication_factor == 0)
    identity.replication_factor = replication_factor_for(settings.tolerated_machines, settings.tolerated_zones);
  return identity;
}

int run(int argc, const char** argv) {
  auto parsed = read_settings(argc, argv, required_settings());
  if (auto* exit_code = std::get_if<int>(&parsed))
    return *exit_code;
  const auto& settings = std::get<Settings>(parsed);
  start_log(kProgram);
  Startup startup(kProgram, settings.shutdown_grace + kStartupMargin);
  curl_global_init(CURL_GLOBAL_DEFAULT);

  auto opened_disk = open_disk(startup, settings.data_directory);
  if (auto* exit_code = std::get_if<int>(&opened_disk))
    return *exit_code;
  auto disk = std::get<std::shared_ptr<Disk>>(opened_disk);
  const auto identity = make_identity(settings, disk->recovered().incarnation);

  auto& host = create_host(disk, settings);
  LocalMailboxes mailboxes;
  if (auto errors = listen(startup, host); !errors.empty())
    return report_start_failure(kProgram, errors);
  host.route("local", [&](const Envelope& envelope) { mailboxes.deliver(envelope); });
  auto start_errors = host.start([&](const Recovered& recovered, TimePoint now) {
    return std::make_unique<ControllerMachine>(identity, recovered, now);
  });
  if (!start_errors.empty())
    return report_start_failure(kProgram, start_errors);

  const auto* protocol = find_control_protocol(settings.platform_protocol);
  HostControllerAccess controller(host, mailboxes, settings.commit_attempt_timeout);
  AdminApi admin_api(host, controller, settings.commit_timeout, protocol);
  auto server =
      open_server(startup, settings.http_address, [&](const ApiRequest& request) { return admin_api.handle(request); });
  if (!server.ok()) {
    host.stop();
    return report_start_failure(kProgram, server.errors());
  }
  std::unique_ptr<ReplicaPoller> replica_poller;
  if (protocol && !settings.replica_list_address.empty())
    replica_poller = std::make_unique<ReplicaPoller>(controller, *protocol, settings.replica_list_address);

  auto begin_shutdown = [&] {
    host.ask(
        [](StateMachine& machine, TimePoint now) { static_cast<ControllerMachine&>(machine).begin_shutdown(now); });
    return false;
  };
  auto exit_code = run_until_stopped(startup, host, kProgram, begin_shutdown);
  mailboxes.shut_down();
  replica_poller.reset();
  server.value().reset();
  return exit_code;
}

}  // namespace

/// Called by the launcher, which has set up the signals.
extern "C" [[gnu::visibility("default")]] int mosskeel_daemon_main(int argc, const char** argv) {
  prepare_process_resources();
  end_process(run(argc, argv));
}
