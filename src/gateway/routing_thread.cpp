#include "gateway/routing_thread.hpp"

#include "base/log.hpp"
#include "gateway/constants.hpp"
#include "runtime/constants.hpp"

namespace mosskeel {

namespace {

constexpr size_t kKibibyte = 1024;

std::string kibibytes(size_t bytes) {
  return std::to_string(bytes / kKibibyte) + " KiB";
}

}  // namespace

RoutingThread::RoutingThread(Host& host, const ProtocolCodec& codec, size_t memory_limit)
    : host_(host),
      codec_(codec),
      memory_bytes_(process_memory(memory_limit).total),
      memory_monitor_([memory_limit] { return process_memory(memory_limit); }) {}

Result<std::unique_ptr<RoutingThread>> RoutingThread::start(Host& host, const ProtocolCodec& codec,
                                                            const Options& options) {
  std::unique_ptr<RoutingThread> started(new RoutingThread(host, codec, options.memory_limit));
  auto* self = started.get();
  if (auto errors = self->listen_for_callers(options.callers); !errors.empty())
    return errors;
  if (auto errors = self->listen_for_readiness(options.readiness); !errors.empty())
    return errors;
  host.route(kRoutingAddress, [self](const Envelope& envelope) {
    self->loop_.post([self, message = envelope.body]() mutable { self->on_owner_reply(std::move(message)); });
  });
  host.watch([self](StateMachine& machine, TimePoint now) { self->publish_snapshot(machine, now); });
  self->thread_ = std::thread([self] {
    self->tick();
    self->loop_.run();
  });
  return started;
}

RoutingThread::~RoutingThread() {
  loop_.stop();
  if (thread_.joinable())
    thread_.join();
}

Errors RoutingThread::listen_for_callers(const Address& address) {
  auto opened = HttpFrontend::open(
      loop_, codec_, address, [this] { return snapshot(); },
      [this](Message message) { send_to_owner(std::move(message)); }, memory_bytes_);
  if (!opened.ok())
    return opened.errors();
  frontend_ = std::move(opened).value();
  return {};
}

Errors RoutingThread::listen_for_readiness(const Address& address) {
  if (address.empty())
    return {};
  auto answer_probe = [this](uint64_t request_id, HttpRequest&& request) {
    readiness_listener_->send_response(request_id, readiness_status(request), {}, "");
  };
  auto ignore = [](uint64_t) {
  };
  auto opened = HttpListener::open(loop_, address, {answer_probe, ignore, ignore});
  if (!opened.ok())
    return opened.errors();
  readiness_listener_ = std::move(opened).value();
  return {};
}

uint32_t RoutingThread::readiness_status(const HttpRequest& request) const {
  if (!codec_.is_readiness_probe(request))
    return 404;
  auto current = snapshot();
  bool ready = current->ready && process_now() < current->dispatch_until;
  return ready ? 200 : 503;
}

void RoutingThread::on_owner_reply(Message&& message) {
  if (auto* reply = std::get_if<ReserveTurnReply>(&message))
    frontend_->step(std::move(*reply));
  if (auto* reply = std::get_if<CommitTurnReply>(&message))
    frontend_->step(std::move(*reply));
}

void RoutingThread::send_to_owner(Message message) {
  auto view = host_.view();
  Envelope envelope{};
  envelope.from = kRoutingAddress;
  envelope.cluster = view->cluster;
  envelope.epoch = view->epoch;
  envelope.body = std::move(message);
  host_.post(std::move(envelope));
}

void RoutingThread::begin_draining(const ShutdownLimits& limits) {
  loop_.post([this, limits] {
    draining_since_ = limits.begun_at;
    frontend_->begin_shutdown(limits);
  });
}

void RoutingThread::continue_draining(TimePoint now) {
  if (!draining_since_ || now - *draining_since_ < kReadinessPropagation)
    return;
  frontend_->drain();
  has_active_callers_ = frontend_->has_active_callers();
}

void RoutingThread::publish_snapshot(StateMachine& machine, TimePoint now) {
  auto& gateway = static_cast<GatewayMachine&>(machine);
  gateway.set_open_routing_sessions(has_active_callers_ ? 1 : 0);
  std::shared_ptr<const RoutingSnapshot> next = std::make_shared<RoutingSnapshot>(gateway.routing_snapshot(now));
  std::atomic_store(&snapshot_, next);
}

void RoutingThread::tick() {
  loop_.run_after(kTickInterval, [this] { tick(); });
  frontend_->tick();
  check_memory(process_now());
  continue_draining(process_now());
}

void RoutingThread::check_memory(TimePoint now) {
  auto usage = memory_monitor_.check(now);
  if (!usage)
    return;
  auto held = frontend_->router().held_bytes();
  log_event(Event::memory_high, "uses " + kibibytes(usage->used) + " of " + kibibytes(usage->total) + ": " +
                                    std::to_string(frontend_->router().active_requests()) +
                                    " requests with bodies of " + kibibytes(held.requests) + " and chains of " +
                                    kibibytes(held.chains) + "; outputs of turns " + kibibytes(held.turn_outputs) +
                                    ", buffered responses " + kibibytes(held.buffered_responses) +
                                    ", unsent to callers " + kibibytes(frontend_->unsent_bytes()) +
                                    ", waiting for peers " + kibibytes(host_.bytes_waiting_for_peers()) + "; " +
                                    std::to_string(frontend_->ejections()) + " ejections of replicas so far");
}

}  // namespace mosskeel
