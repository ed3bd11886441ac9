#include <curl/curl.h>

#include "kernel/daemon.hpp"
#include "kernel/upstream.hpp"
#include "gateway/callers.hpp"
#include "gateway/exchange.hpp"

using namespace mosskeel;

int main(int argc, const char** argv) {
  auto r = read_settings(argc, argv,
                         {"gateway", "A front worker: takes callers' requests, owns programs, asks replicas.", true,
                          true, true, true, false, false, false});
  if (auto* rc = std::get_if<int>(&r)) return *rc;
  auto& p = std::get<Settings>(r);
  start_log("gateway");
  hold_signals();
  curl_global_init(CURL_GLOBAL_DEFAULT);
  Identity id{
      {Incarnation{dice()}, Role::front, p.zone, p.listen, p.agent, p.http, p.machine}, {}, 0, dice(), p.tcm_rpc_ms};
  Host host(nullptr, p.listen);
  Sessions sessions;
  Upstream up([&](Message m) {
    Envelope e{};
    e.from = "replica:";
    e.body = std::move(m);
    host.post(std::move(e));
  });
  std::unique_ptr<Exchange> exchange;
  if (!p.dialect.empty()) {
    auto* d = dialect(p.dialect);
    if (!d) return cannot_start("gateway", {{"dialect", "'" + p.dialect + "' is not known"}});
    auto x = Exchange::open(host, *d, p.http, p.ready);
    if (!ok(x)) return cannot_start("gateway", findings(x));
    exchange = std::move(std::get<0>(x));
  }
  host.route("local", [&](const Envelope& e) { sessions.deliver(e); });
  host.route("replica", [&](const Envelope& e) {
    if (auto* a = std::get_if<ReplicaAsk>(&e.body)) up.ask(*a);
    if (auto* s = std::get_if<ReplicaStop>(&e.body)) up.stop(s->attempt);
  });
  if (auto f = host.start([&](const Recovered&, Millis now) { return std::make_unique<GatewayMachine>(id, now); });
      !f.empty())
    return cannot_start("gateway", f);
  Callers callers(host, sessions);
  std::unique_ptr<HttpServer> web;
  if (!exchange) {
    auto w = HttpServer::open(p.http, [&](const HttpAsk& a) { return callers.answer(a); });
    if (!ok(w)) return cannot_start("gateway", findings(w));
    web = std::move(std::get<0>(w));
  }
  auto rc = run_until_stopped(host, "gateway", [&] {
    host.ask([](Machine& m, Millis) { static_cast<GatewayMachine&>(m).leave(); });
    if (exchange) exchange->leave();
    return false;
  });
  for (int i = 0; i < 50 && sessions.size(); ++i) std::this_thread::sleep_for(std::chrono::milliseconds(20));
  web.reset();
  exchange.reset();
  return rc;
}
