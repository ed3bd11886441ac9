#pragma once
// The traffic thread of a gateway: the HTTP front on its own loop, beside the gateway's control state.
#include "programs/gateway_machine.hpp"
#include "routing/http_frontend.hpp"
#include "runtime/host.hpp"

namespace mosskeel {

class RoutingThread {
 public:
  /// Errors where an address can't be listened on. `ready` may be empty.
  static Result<std::unique_ptr<RoutingThread>> start(Host& h, const ProtocolCodec& d, const Address& front,
                                                      const Address& ready);
  ~RoutingThread();
  /// Begins to leave: every answer ends its session at once; listening ends once the platform has had its time to see
  /// that this front is not ready. The control state is told when the last session is over.
  void begin_draining();

 private:
  RoutingThread(Host& h, const ProtocolCodec& d) : host_(h), dialect_(d) {}
  Errors listen_for_readiness(const Address& at);
  void tick();
  void tell_owner(Message body);
  void publish(Machine& m, Millis now);
  void go_on_leaving(Millis now);
  std::shared_ptr<const RoutingSnapshot> snapshot() const { return std::atomic_load(&snapshot_); }
  Host& host_;
  const ProtocolCodec& dialect_;
  EventLoop loop_;
  std::unique_ptr<HttpFrontend> front_;
  std::unique_ptr<HttpListener> ready_;
  std::shared_ptr<const RoutingSnapshot> snapshot_ =
      std::make_shared<RoutingSnapshot>(RoutingSnapshot{std::make_shared<Metadata>(), {}, 0, false, false});
  /// Since when this front leaves; 0 while it does not.
  Millis leaving_since_ = 0;
  /// Whether callers may still have something under way here.
  std::atomic<bool> open_{true};
  std::thread thread_;
};

}  // namespace mosskeel
