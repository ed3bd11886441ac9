#include <curl/curl.h>

#include "control/replica_poller.hpp"
#include "runtime/daemon.hpp"

using namespace mosskeel;

int main(int argc, const char** argv) {
  auto r = read_settings(argc, argv,
                         {"controller", "A core daemon: keeps the metadata log, answers operators and platform.", true,
                          true, false, true, true, true, true});
  if (auto* rc = std::get_if<int>(&r))
    return *rc;
  auto& p = std::get<Settings>(r);
  start_log("controller");
  hold_signals();
  curl_global_init(CURL_GLOBAL_DEFAULT);
  auto d = open_disk(p.data);
  if (auto* rc = std::get_if<int>(&d))
    return *rc;
  auto disk = std::get<0>(d);
  Identity id{{disk->recovered().incarnation, Role::controller, p.zone, p.listen, "", p.http, p.machine},
              p.seeds,
              p.core_size,
              dice(),
              p.tcm_rpc_ms,
              p.later_start,
              p.core_most,
              p.copies ? p.copies : replication_factor_for(p.tolerated_machines, p.tolerated_zones)};
  Host host(disk, p.listen);
  LocalMailboxes sessions;
  host.route("local", [&](const Envelope& e) { sessions.deliver(e); });
  if (auto f =
          host.start([&](const Recovered& r, Millis now) { return std::make_unique<ControllerMachine>(id, r, now); });
      !f.empty())
    return cannot_start("controller", f);
  auto* dialect = find_control_protocol(p.dialect);
  AdminApi admin_api(host, sessions, p.tcm_await_ms, p.tcm_rpc_ms, dialect);
  auto web = HttpServer::open(p.http, [&](const ApiRequest& a) { return admin_api.answer(a); });
  if (!web.ok())
    return cannot_start("controller", web.errors());
  std::unique_ptr<ReplicaPoller> poller;
  if (dialect && !p.list.empty())
    poller = std::make_unique<ReplicaPoller>(host, admin_api, *dialect, p.list);
  auto rc = run_until_stopped(host, "controller", [&] {
    host.ask([](Machine& m, Millis now) { static_cast<ControllerMachine&>(m).begin_shutdown(now); });
    return false;
  });
  poller.reset();
  web.value().reset();
  return rc;
}
