#include "replication/agent_machine.hpp"
#include "runtime/daemon.hpp"

using namespace mosskeel;

int main(int argc, const char** argv) {
  auto r = read_settings(argc, argv,
                         {"agent", "The agent beside a gateway: keeps its link to the core.", true, false, true, true,
                          true, false, false});
  if (auto* rc = std::get_if<int>(&r))
    return *rc;
  auto& p = std::get<Settings>(r);
  start_log("agent");
  block_signals();
  Identity id{{Incarnation{random_number()}, Role::front, p.zone, p.listen, p.agent, "", p.machine},
              p.seeds,
              0,
              random_number(),
              Duration(p.tcm_rpc_ms)};
  Host host(nullptr, p.listen);
  if (auto f = host.start([&](const Recovered&, TimePoint now) { return std::make_unique<AgentMachine>(id, now); });
      !f.empty())
    return cannot_start("agent", f);
  return run_until_stopped(host, "agent", [&] {
    host.ask([](StateMachine& m, TimePoint) { static_cast<AgentMachine&>(m).leave(); });
    return false;
  });
}
