// The agent daemon, which runs next to a gateway: connects an AgentMachine to the network.
#include "replication/agent_machine.hpp"
#include "runtime/daemon.hpp"

using namespace mosskeel;

namespace {

constexpr const char* kProgram = "agent";

RequiredSettings required_settings() {
  RequiredSettings required{};
  required.program = kProgram;
  required.purpose = "The agent of a gateway: maintains its connection to the core.";
  required.listen = true;
  required.agent = true;
  required.zone = true;
  required.seeds = true;
  return required;
}

Identity identity_from(const Settings& settings) {
  Identity identity{};
  identity.self.incarnation = Incarnation{random_number()};
  identity.self.role = Role::gateway;
  identity.self.zone = settings.zone;
  identity.self.address = settings.listen_address;
  identity.self.agent_address = settings.agent_address;
  identity.self.machine = settings.machine;
  identity.seeds = settings.seeds;
  identity.core_size = 0;
  identity.random_seed = random_number();
  identity.commit_attempt_timeout = settings.commit_attempt_timeout;
  return identity;
}

int run(int argc, const char** argv) {
  auto parsed = read_settings(argc, argv, required_settings());
  if (const auto* exit_code = std::get_if<int>(&parsed))
    return *exit_code;
  const auto& settings = std::get<Settings>(parsed);
  start_log(kProgram);
  Startup startup(kProgram, settings.shutdown_grace + kStartupMargin);
  auto identity = identity_from(settings);
  auto& host = create_host(nullptr, settings);
  if (auto errors = listen(startup, host); !errors.empty())
    return report_start_failure(kProgram, errors);
  auto make_machine = [&](const Recovered&, TimePoint now) {
    return std::make_unique<AgentMachine>(identity, now);
  };
  if (auto errors = host.start(make_machine); !errors.empty())
    return report_start_failure(kProgram, errors);
  return run_until_stopped(startup, host, kProgram, [&] {
    auto limits = ShutdownLimits::begin(process_now(), settings.shutdown_grace);
    host.ask([&](StateMachine& machine, TimePoint) { static_cast<AgentMachine&>(machine).leave(limits); });
    return false;
  });
}

}  // namespace

/// Called by the launcher, which has set up the signals.
extern "C" [[gnu::visibility("default")]] int mosskeel_daemon_main(int argc, const char** argv) {
  prepare_process_resources();
  end_process(run(argc, argv));
}
