#include "gateway/routing_thread.hpp"
#include "gateway/constants.hpp"
#include "runtime/constants.hpp"

namespace mosskeel {

Result<std::unique_ptr<RoutingThread>> RoutingThread::start(Host& h, const ProtocolCodec& d, const Address& front,
                                                            const Address& ready) {
  std::unique_ptr<RoutingThread> made(new RoutingThread(h, d));
  auto* routing_thread = made.get();
  auto opened = HttpFrontend::open(
      routing_thread->loop_, d, front, [routing_thread] { return routing_thread->snapshot(); },
      [routing_thread](Message body) { routing_thread->tell_owner(std::move(body)); });
  if (!opened.ok())
    return opened.errors();
  routing_thread->front_ = std::move(opened).value();
  if (auto f = routing_thread->listen_for_readiness(ready); !f.empty())
    return f;
  h.route(kRoutingAddress, [routing_thread](const Envelope& e) {
    routing_thread->loop_.post([routing_thread, body = e.body]() mutable {
      if (auto* grant = std::get_if<ReserveTurnReply>(&body))
        routing_thread->front_->step(std::move(*grant));
      if (auto* settled = std::get_if<CommitTurnReply>(&body))
        routing_thread->front_->step(std::move(*settled));
    });
  });
  h.watch([routing_thread](Machine& m, Millis now) { routing_thread->publish(m, now); });
  routing_thread->thread_ = std::thread([routing_thread] {
    routing_thread->tick();
    routing_thread->loop_.run();
  });
  return made;
}

RoutingThread::~RoutingThread() {
  loop_.stop();
  if (thread_.joinable())
    thread_.join();
}

Errors RoutingThread::listen_for_readiness(const Address& at) {
  if (at.empty())
    return {};
  auto answer = [this](uint64_t id, HttpRequest&& request) {
    auto now = snapshot();
    bool asked = dialect_.is_readiness_probe(request);
    bool ready = now->ready && process_now() < now->dispatch_until;
    ready_->send_response(id, !asked ? 404 : ready ? 200 : 503, {}, "");
  };
  auto opened = HttpListener::open(loop_, at,
                                   {answer, [](uint64_t) {},
                                    [](uint64_t) {
                                    }});
  if (!opened.ok())
    return opened.errors();
  ready_ = std::move(opened).value();
  return {};
}

void RoutingThread::begin_draining() {
  loop_.post([this] {
    front_->close_after_responses();
    leaving_since_ = process_now();
  });
}

void RoutingThread::go_on_leaving(Millis now) {
  if (!leaving_since_ || now - leaving_since_ < kReadinessPropagation)
    return;
  front_->drain();
  open_ = front_->has_active_callers();
}

void RoutingThread::publish(Machine& m, Millis now) {
  auto& gateway = static_cast<GatewayMachine&>(m);
  gateway.set_open_routing_sessions(open_ ? 1 : 0);
  std::shared_ptr<const RoutingSnapshot> next = std::make_shared<RoutingSnapshot>(gateway.routing_snapshot(now));
  std::atomic_store(&snapshot_, next);
}

void RoutingThread::tick() {
  loop_.run_after(kTickInterval, [this] { tick(); });
  front_->tick();
  go_on_leaving(process_now());
}

void RoutingThread::tell_owner(Message body) {
  auto view = host_.view();
  Envelope e{};
  e.from = kRoutingAddress;
  e.cluster = view->cluster;
  e.epoch = view->epoch;
  e.body = std::move(body);
  host_.post(std::move(e));
}

}  // namespace mosskeel
