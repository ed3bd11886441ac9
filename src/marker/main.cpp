#include "kernel/daemon.hpp"
#include "marker/desk.hpp"

using namespace mosskeel;

int main(int argc, const char** argv) {
  auto r = read_props(argc, argv,
                      {"marker", "A core daemon: keeps the metadata log, answers operators and platform.", true, true,
                       false, true, true, true, true});
  if (auto* rc = std::get_if<int>(&r)) return *rc;
  auto& p = std::get<Props>(r);
  start_log("marker");
  hold_signals();
  auto d = open_disk(p.data);
  if (auto* rc = std::get_if<int>(&d)) return *rc;
  auto disk = std::get<0>(d);
  Identity id{
      {disk->recovered().inc, Role::marker, p.zone, p.listen, "", p.http}, p.seeds, p.core_size, dice(), p.tcm_rpc_ms};
  Host host(disk, p.listen);
  Sessions sessions;
  host.route("local", [&](const Envelope& e) { sessions.deliver(e); });
  if (auto f = host.start([&](const Recovered& r, Millis now) { return std::make_unique<MarkerMachine>(id, r, now); });
      !f.empty())
    return cannot_start("marker", f);
  Desk desk(host, sessions, p.tcm_await_ms, p.tcm_rpc_ms);
  auto web = HttpServer::open(p.http, [&](const HttpAsk& a) { return desk.answer(a); });
  if (!ok(web)) return cannot_start("marker", findings(web));
  auto rc = run_until_stopped(host, "marker", [] { return true; });
  std::get<0>(web).reset();
  return rc;
}
