#include "gateway/exchange.hpp"

namespace mosskeel {

Result<std::unique_ptr<Exchange>> Exchange::open(Host& h, const Dialect& d, const Address& front,
                                                 const Address& ready) {
  std::unique_ptr<Exchange> x(new Exchange(h, d));
  auto* p = x.get();
  auto callers = HttpListener::open(x->loop_, front,
                                    {[p](uint64_t id, HttpRequest&& r) {
                                       p->happen(traffic::Asked{id, std::move(r)});
                                     },
                                     [p](uint64_t id) { p->happen(traffic::CallerLeft{id}); }, [](uint64_t) {}});
  if (!ok(callers)) return findings(callers);
  x->callers_ = std::move(std::get<0>(callers));
  if (!ready.empty()) {
    auto answer = [p](uint64_t id, HttpRequest&& r) {
      auto o = std::atomic_load(&p->snapshot_);
      bool asked = p->dialect_.asks_ready(r), yes = o->ready && process_now() < o->until;
      p->ready_->whole(id, asked ? (yes ? 200 : 503) : 404, {}, "");
    };
    auto r = HttpListener::open(x->loop_, ready, {answer, [](uint64_t) {}, [](uint64_t) {}});
    if (!ok(r)) return findings(r);
    x->ready_ = std::move(std::get<0>(r));
  }
  auto named = [p](uint64_t id) {
    auto i = p->names_.find(id);
    return i == p->names_.end() ? 0 : i->second;
  };
  auto over = [p](uint64_t id) {
    auto i = p->names_.find(id);
    if (i == p->names_.end()) return;
    p->asks_.erase(i->second);
    p->names_.erase(i);
  };
  x->replicas_ = std::make_unique<UpstreamClient>(
      x->loop_,
      UpstreamClient::Events{[p, named](uint64_t id, UpstreamClient::Answer&& a) {
                               p->happen(traffic::ReplicaHead{named(id), a.status, std::move(a.fields)});
                             },
                             [p, named](uint64_t id, std::string_view s) {
                               p->happen(traffic::ReplicaBytes{named(id), std::string(s)});
                             },
                             [p, named, over](uint64_t id) {
                               auto n = named(id);
                               over(id);
                               p->happen(traffic::ReplicaDone{n});
                             },
                             [p, named, over](uint64_t id, UpstreamClient::Lost l, std::string why) {
                               auto n = named(id);
                               over(id);
                               p->happen(traffic::ReplicaLost{n, l == UpstreamClient::Lost::sent, std::move(why)});
                             }});
  h.route("local:traffic", [p](const Envelope& e) {
    p->loop_.post([p, b = e.body]() mutable {
      if (auto* g = std::get_if<TurnGrant>(&b)) p->happen(std::move(*g));
      if (auto* s = std::get_if<TurnSettled>(&b)) p->happen(std::move(*s));
    });
  });
  h.watch([p](Machine& m, Millis now) { p->publish(m, now); });
  x->thread_ = std::thread([p] {
    p->tick();
    p->loop_.run();
  });
  return x;
}

Exchange::~Exchange() {
  loop_.stop();
  if (thread_.joinable()) thread_.join();
}

void Exchange::leave() {
  loop_.post([this] { callers_->closing(true); });
}

void Exchange::publish(Machine& m, Millis now) {
  auto& s = static_cast<GatewayMachine&>(m);
  s.carry(calls_);
  std::atomic_store(&snapshot_,
                    std::shared_ptr<const RoutingSnapshot>(std::make_shared<RoutingSnapshot>(s.routing_snapshot(now))));
}

void Exchange::tick() {
  loop_.after(limits::tick, [this] { tick(); });
  auto now = process_now();
  auto o = std::atomic_load(&snapshot_);
  traffic_.routing_snapshot(o, now);
  if (o->view->revision != limits_of_) {
    limits_of_ = o->view->revision;
    auto& c = o->view->configuration.callers;
    HttpListenerLimits l;
    if (c.head_bytes) l.head_bytes = c.head_bytes;
    if (c.body_bytes) l.body_bytes = c.body_bytes;
    if (c.head_ms) l.head_ms = c.head_ms;
    if (c.idle_ms) l.idle_ms = c.idle_ms;
    callers_->limits(l);
  }
  act(traffic_.tick(now));
}

void Exchange::happen(traffic::Event e) {
  auto now = process_now();
  traffic_.routing_snapshot(std::atomic_load(&snapshot_), now);
  act(traffic_.step(std::move(e), now));
}

void Exchange::act(traffic::Actions v) {
  for (auto& a : v)
    std::visit(overload{[&](traffic::AnswerWhole& x) { callers_->whole(x.id, x.status, x.fields, x.body); },
                        [&](traffic::AnswerHead& x) { callers_->head(x.id, x.status, x.fields, std::nullopt); },
                        [&](traffic::AnswerBytes& x) { callers_->bytes(x.id, x.bytes); },
                        [&](traffic::AnswerEnd& x) { callers_->end(x.id); },
                        [&](traffic::AnswerCut& x) { callers_->cut(x.id); },
                        [&](traffic::AskReplica& x) {
                          auto id = replicas_->ask(
                              {x.to, std::move(x.method), std::move(x.target), std::move(x.fields), std::move(x.body)});
                          asks_[x.ask] = id;
                          names_[id] = x.ask;
                        },
                        [&](traffic::DropReplica& x) {
                          auto i = asks_.find(x.ask);
                          if (i == asks_.end()) return;
                          replicas_->drop(i->second);
                          names_.erase(i->second);
                          asks_.erase(i);
                        },
                        [&](traffic::TellOwner& x) {
                          Envelope e{};
                          auto v = host_.view();
                          e.from = traffic_address;
                          e.cluster = v->cluster;
                          e.epoch = v->epoch;
                          e.body = std::move(x.body);
                          host_.post(std::move(e));
                        }},
               a);
  calls_ = traffic_.calls();
}

}  // namespace mosskeel
