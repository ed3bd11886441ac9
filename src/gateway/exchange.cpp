#include "gateway/exchange.hpp"

#include "kernel/traffic_limits.hpp"

namespace mosskeel {

Result<std::unique_ptr<Exchange>> Exchange::open(Host& h, const Dialect& d, const Address& front,
                                                 const Address& ready) {
  std::unique_ptr<Exchange> made(new Exchange(h, d));
  auto* exchange = made.get();
  auto opened = HttpFront::open(
      exchange->loop_, d, front, [exchange] { return exchange->snapshot(); },
      [exchange](Message body) { exchange->tell_owner(std::move(body)); });
  if (!ok(opened)) return findings(opened);
  exchange->front_ = std::move(std::get<0>(opened));
  if (auto f = exchange->listen_for_readiness(ready); !f.empty()) return f;
  h.route(traffic_address, [exchange](const Envelope& e) {
    exchange->loop_.post([exchange, body = e.body]() mutable {
      if (auto* grant = std::get_if<TurnGrant>(&body)) exchange->front_->step(std::move(*grant));
      if (auto* settled = std::get_if<TurnSettled>(&body)) exchange->front_->step(std::move(*settled));
    });
  });
  h.watch([exchange](Machine& m, Millis now) { exchange->publish(m, now); });
  exchange->thread_ = std::thread([exchange] {
    exchange->tick();
    exchange->loop_.run();
  });
  return made;
}

Exchange::~Exchange() {
  loop_.stop();
  if (thread_.joinable()) thread_.join();
}

Findings Exchange::listen_for_readiness(const Address& at) {
  if (at.empty()) return {};
  auto answer = [this](uint64_t id, HttpRequest&& request) {
    auto now = snapshot();
    bool asked = dialect_.asks_ready(request);
    bool ready = now->ready && process_now() < now->until;
    ready_->whole(id, !asked ? 404 : ready ? 200 : 503, {}, "");
  };
  auto opened = HttpListener::open(loop_, at, {answer, [](uint64_t) {}, [](uint64_t) {}});
  if (!ok(opened)) return findings(opened);
  ready_ = std::move(std::get<0>(opened));
  return {};
}

void Exchange::leave() {
  loop_.post([this] {
    front_->close_after_answers();
    leaving_since_ = process_now();
  });
}

void Exchange::go_on_leaving(Millis now) {
  if (!leaving_since_ || now - leaving_since_ < limits::unready_patience) return;
  front_->drain();
  open_ = front_->busy();
}

void Exchange::publish(Machine& m, Millis now) {
  auto& gateway = static_cast<GatewayMachine&>(m);
  gateway.carry(open_ ? 1 : 0);
  std::shared_ptr<const RoutingSnapshot> next = std::make_shared<RoutingSnapshot>(gateway.routing_snapshot(now));
  std::atomic_store(&snapshot_, next);
}

void Exchange::tick() {
  loop_.after(limits::tick, [this] { tick(); });
  front_->tick();
  go_on_leaving(process_now());
}

void Exchange::tell_owner(Message body) {
  auto view = host_.view();
  Envelope e{};
  e.from = traffic_address;
  e.cluster = view->cluster;
  e.epoch = view->epoch;
  e.body = std::move(body);
  host_.post(std::move(e));
}

}  // namespace mosskeel
