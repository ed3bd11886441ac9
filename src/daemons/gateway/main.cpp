#include <curl/curl.h>

#include "gateway/program_api.hpp"
#include "gateway/routing_thread.hpp"
#include "net/replica_client.hpp"
#include "runtime/daemon.hpp"

using namespace mosskeel;

int main(int argc, const char** argv) {
  auto r = read_settings(argc, argv,
                         {"gateway", "A front worker: takes callers' requests, owns programs, asks replicas.", true,
                          true, true, true, false, false, false});
  if (auto* rc = std::get_if<int>(&r))
    return *rc;
  auto& p = std::get<Settings>(r);
  start_log("gateway");
  hold_signals();
  curl_global_init(CURL_GLOBAL_DEFAULT);
  Identity id{
      {Incarnation{dice()}, Role::front, p.zone, p.listen, p.agent, p.http, p.machine}, {}, 0, dice(), p.tcm_rpc_ms};
  Host host(nullptr, p.listen);
  LocalMailboxes sessions;
  ReplicaClient up([&](Message m) {
    Envelope e{};
    e.from = "replica:";
    e.body = std::move(m);
    host.post(std::move(e));
  });
  std::unique_ptr<RoutingThread> routing_thread;
  if (!p.dialect.empty()) {
    auto* d = find_protocol_codec(p.dialect);
    if (!d)
      return cannot_start("gateway", {{"dialect", "'" + p.dialect + "' is not known"}});
    auto x = RoutingThread::start(host, *d, p.http, p.ready);
    if (!x.ok())
      return cannot_start("gateway", x.errors());
    routing_thread = std::move(x).value();
  }
  host.route("local", [&](const Envelope& e) { sessions.deliver(e); });
  host.route("replica", [&](const Envelope& e) {
    if (auto* a = std::get_if<ReplicaCall>(&e.body))
      up.send(*a);
    if (auto* s = std::get_if<CancelReplicaCall>(&e.body))
      up.cancel(s->attempt);
  });
  if (auto f = host.start([&](const Recovered&, Millis now) { return std::make_unique<GatewayMachine>(id, now); });
      !f.empty())
    return cannot_start("gateway", f);
  Callers callers(host, sessions);
  std::unique_ptr<HttpServer> web;
  if (!routing_thread) {
    auto w = HttpServer::open(p.http, [&](const ApiRequest& a) { return callers.answer(a); });
    if (!w.ok())
      return cannot_start("gateway", w.errors());
    web = std::move(w).value();
  }
  auto rc = run_until_stopped(host, "gateway", [&] {
    host.ask([](Machine& m, Millis) { static_cast<GatewayMachine&>(m).begin_shutdown(); });
    if (routing_thread)
      routing_thread->begin_draining();
    return false;
  });
  for (int i = 0; i < 50 && sessions.size(); ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  web.reset();
  routing_thread.reset();
  return rc;
}
