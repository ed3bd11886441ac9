#include "follow/lineman_machine.hpp"
#include "kernel/daemon.hpp"

using namespace mosskeel;

int main(int argc, const char** argv) {
  auto r = read_props(argc, argv,
                      {"lineman", "The agent beside a gateway: keeps its link to the core.", true, false, true,
                       true, true, false, false});
  if (auto* rc = std::get_if<int>(&r)) return *rc;
  auto& p = std::get<Props>(r);
  start_log("lineman");
  hold_signals();
  Identity id{{Incarnation{dice()}, Role::front, p.zone, p.listen, p.agent, "", p.machine}, p.seeds, 0, dice(), p.tcm_rpc_ms};
  Host host(nullptr, p.listen);
  if (auto f = host.start([&](const Recovered&, Millis now) { return std::make_unique<LinemanMachine>(id, now); });
      !f.empty())
    return cannot_start("lineman", f);
  return run_until_stopped(host, "lineman", [&] {
    host.ask([](Machine& m, Millis) { static_cast<LinemanMachine&>(m).leave(); });
    return false;
  });
}
