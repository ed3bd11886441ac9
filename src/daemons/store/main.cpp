#include "base/memory.hpp"
#include "history/constants.hpp"
#include "history/store_machine.hpp"
#include "runtime/constants.hpp"
#include "runtime/daemon.hpp"

using namespace mosskeel;

int main(int argc, const char** argv) {
  auto r = read_settings(
      argc, argv, {"store", "A storage daemon: keeps the histories.", true, true, false, true, true, true, false});
  if (auto* rc = std::get_if<int>(&r))
    return *rc;
  auto& p = std::get<Settings>(r);
  start_log("store");
  hold_signals();
  auto d = open_disk(p.data);
  if (auto* rc = std::get_if<int>(&d))
    return *rc;
  auto disk = std::get<0>(d);
  Identity id{{disk->recovered().incarnation, Role::store, p.zone, p.listen, "", p.http, p.machine},
              p.seeds,
              0,
              dice(),
              p.tcm_rpc_ms};
  return_large_blocks();
  Host host(disk, p.listen, kStoreInboxBytes);
  Millis next_look = 0;
  host.watch([&host, next_look](Machine& m, Millis now) mutable {
    if (now < next_look)
      return;
    next_look = now + kStoreLoadInterval;
    bool held_back = host.journal()->pending_bytes() > kMaxBytesWaitingForDisk;
    static_cast<StoreMachine&>(m).set_load(
        {held_back || process_memory().over(kStoreMemoryShare), host.waiting() > kMaxBytesWaitingForDisk});
  });
  if (auto f =
          host.start([&](Recovered r, Millis now) { return std::make_unique<StoreMachine>(id, std::move(r), now); });
      !f.empty())
    return cannot_start("store", f);
  auto answer = [&](const ApiRequest& a) {
    ApiResponse x;
    if (a.path == "/metrics") {
      size_t n = 0, g = 0, lacking = 0, fetched = 0, refused = 0;
      host.ask([&](Machine& m, Millis) {
        n = static_cast<StoreMachine&>(m).history_count();
        g = static_cast<StoreMachine&>(m).tombstone_count();
        lacking = static_cast<StoreMachine&>(m).repair().incomplete_comparisons();
        fetched = static_cast<StoreMachine&>(m).repair().fetched();
        refused = static_cast<StoreMachine&>(m).refused();
      });
      x.body = metrics_of(host, "store",
                          {{"histories", static_cast<double>(n)},
                           {"tombstones", static_cast<double>(g)},
                           {"incomplete_comparisons", static_cast<double>(lacking)},
                           {"histories_repaired", static_cast<double>(fetched)},
                           {"store_refused", static_cast<double>(refused)},
                           {"messages_refused", static_cast<double>(host.refused())}});
      x.headers["Content-Type"] = "text/plain";
      return x;
    }
    if (a.path != "/ready")
      return ApiResponse::error(404, "unknown_path", a.method + " " + a.path + " is nothing here");
    auto* me = host.view()->find(disk->recovered().incarnation);
    if (!me || me->state != DaemonState::up)
      return ApiResponse::error(503, "not_ready", "this store is not in the directory yet", kDefaultRetryAfter);
    x.body = "{\"ready\":true}\n";
    return x;
  };
  Result<std::unique_ptr<HttpServer>> web = std::unique_ptr<HttpServer>{};
  if (!p.http.empty())
    web = HttpServer::open(p.http, answer);
  if (!web.ok())
    return cannot_start("store", web.errors());
  auto rc = run_until_stopped(host, "store", [] { return true; });
  web.value().reset();
  return rc;
}
