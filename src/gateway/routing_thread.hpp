#pragma once
// The thread of a gateway that carries callers' HTTP, beside the gateway's control state.
#include "programs/gateway_machine.hpp"
#include "routing/http_frontend.hpp"
#include "runtime/host.hpp"

namespace mosskeel {

/// Runs the HTTP frontend, and the platform's readiness probe, on an event loop of its own thread.
///
/// The control thread and this one share nothing but the routing snapshot, which is replaced as a whole, and two
/// queues: turn messages to the host, and their replies posted to the event loop. Must be destroyed before the host.
class RoutingThread {
 public:
  /// Listens and starts the thread. `readiness` may be empty: then no probes are answered. Errors where an address
  /// can't be listened on.
  static Result<std::unique_ptr<RoutingThread>> start(Host& host, const ProtocolCodec& codec, const Address& callers,
                                                      const Address& readiness);
  ~RoutingThread();
  RoutingThread(const RoutingThread&) = delete;
  RoutingThread& operator=(const RoutingThread&) = delete;
  /// Begins a graceful shutdown; from any thread. Every response is the last of its connection at once. Listening ends
  /// `kReadinessPropagation` later, once the platform has had time to see that the gateway is not ready. Late requests
  /// that may outlast the limits are refused unrun, and what is open at their end is answered. The control state hears
  /// when the last connection is over.
  void begin_draining(const ShutdownLimits& limits);

 private:
  RoutingThread(Host& host, const ProtocolCodec& codec) : host_(host), codec_(codec) {}
  Errors listen_for_callers(const Address& address);
  Errors listen_for_readiness(const Address& address);
  /// On the routing thread: a reply to one of the router's turn messages.
  void on_owner_reply(Message&& message);
  void send_to_owner(Message message);
  /// On the control thread, after each of its steps.
  void publish_snapshot(StateMachine& machine, TimePoint now);
  void tick();
  void continue_draining(TimePoint now);
  uint32_t readiness_status(const HttpRequest& request) const;
  std::shared_ptr<const RoutingSnapshot> snapshot() const { return std::atomic_load(&snapshot_); }

  Host& host_;
  const ProtocolCodec& codec_;
  EventLoop loop_;
  std::unique_ptr<HttpFrontend> frontend_;
  std::unique_ptr<HttpListener> readiness_listener_;
  /// Written by the control thread, read by this one; only through `std::atomic_load` and `std::atomic_store`.
  std::shared_ptr<const RoutingSnapshot> snapshot_ =
      std::make_shared<RoutingSnapshot>(RoutingSnapshot{std::make_shared<Metadata>(), {}, {}, false});
  /// When draining began, if it has. Used on the routing thread.
  std::optional<TimePoint> draining_since_;
  /// Whether callers may still have something under way here. Written by this thread, read by the control thread.
  std::atomic<bool> has_active_callers_{true};
  std::thread thread_;
};

}  // namespace mosskeel
