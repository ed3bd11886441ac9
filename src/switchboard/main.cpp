#include <curl/curl.h>

#include "kernel/daemon.hpp"
#include "kernel/upstream.hpp"
#include "switchboard/callers.hpp"

using namespace mosskeel;

int main(int argc, const char** argv) {
  auto r = read_props(argc, argv,
                      {"switchboard", "A front worker: takes callers' errands, owns programs, asks replicas.", true,
                       true, true, true, false, false, false});
  if (auto* rc = std::get_if<int>(&r)) return *rc;
  auto& p = std::get<Props>(r);
  start_log("switchboard");
  hold_signals();
  curl_global_init(CURL_GLOBAL_DEFAULT);
  Identity id{{Incarnation{dice()}, Role::front, p.zone, p.listen, p.agent, p.http, p.machine}, {}, 0, dice(), p.tcm_rpc_ms};
  Host host(nullptr, p.listen);
  Sessions sessions;
  Upstream up([&](Message m) {
    Envelope e{};
    e.from = "replica:";
    e.body = std::move(m);
    host.post(std::move(e));
  });
  host.route("local", [&](const Envelope& e) { sessions.deliver(e); });
  host.route("replica", [&](const Envelope& e) {
    if (auto* a = std::get_if<ReplicaAsk>(&e.body)) up.ask(*a);
    if (auto* s = std::get_if<ReplicaStop>(&e.body)) up.stop(s->attempt);
  });
  if (auto f = host.start([&](const Recovered&, Millis now) { return std::make_unique<SwitchboardMachine>(id, now); });
      !f.empty())
    return cannot_start("switchboard", f);
  Callers callers(host, sessions);
  auto web = HttpServer::open(p.http, [&](const HttpAsk& a) { return callers.answer(a); });
  if (!ok(web)) return cannot_start("switchboard", findings(web));
  auto rc = run_until_stopped(host, "switchboard", [&] {
    host.ask([](Machine& m, Millis) { static_cast<SwitchboardMachine&>(m).leave(); });
    return false;
  });
  for (int i = 0; i < 50 && sessions.size(); ++i) std::this_thread::sleep_for(std::chrono::milliseconds(20));
  std::get<0>(web).reset();
  return rc;
}
