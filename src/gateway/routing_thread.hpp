#pragma once
// The gateway thread that proxies callers' HTTP requests, separate from the control thread.
#include "gateway/memory_monitor.hpp"
#include "programs/gateway_machine.hpp"
#include "routing/http_frontend.hpp"
#include "runtime/host.hpp"

namespace mosskeel {

/// Runs the HTTP frontend and the platform's readiness endpoint on an event loop in its own thread.
///
/// This thread and the control thread share only the routing snapshot, which is replaced as a whole, and two queues:
/// turn messages to the host, and their replies, posted to the event loop. Must be destroyed before the host.
class RoutingThread {
 public:
  /// Where the thread listens, and what it may use.
  struct Options {
    /// Address for callers.
    Address callers;
    /// Address for the platform's probes; if it is empty, there is no readiness endpoint.
    Address readiness;
    /// Memory limit of the process in bytes, as the settings give it; 0 for none.
    size_t memory_limit = 0;
  };
  /// Starts listening and starts the thread. Returns errors if listening at an address fails.
  static Result<std::unique_ptr<RoutingThread>> start(Host& host, const ProtocolCodec& codec, const Options& options);
  ~RoutingThread();
  RoutingThread(const RoutingThread&) = delete;
  RoutingThread& operator=(const RoutingThread&) = delete;
  /// Begins a graceful shutdown. Thread-safe. From now on, every response is the last one on its connection. Listening
  /// stops after `kReadinessPropagation`, when the platform has had time to notice that the gateway is not ready. Late
  /// requests that might not finish within the limits are rejected without being run, and requests still open at the
  /// end of the limits are answered. The control thread is informed when the last connection is closed.
  void begin_draining(const ShutdownLimits& limits);

 private:
  RoutingThread(Host& host, const ProtocolCodec& codec, size_t memory_limit);
  Errors listen_for_callers(const Address& address);
  Errors listen_for_readiness(const Address& address);
  /// Runs on the routing thread: handles a reply to one of the router's turn messages.
  void on_owner_reply(Message&& message);
  void send_to_owner(Message message);
  /// Runs on the control thread after each of its steps.
  void publish_snapshot(StateMachine& machine, TimePoint now);
  void tick();
  /// Logs what memory is held for when much of it is used.
  void check_memory(TimePoint now);
  void continue_draining(TimePoint now);
  uint32_t readiness_status(const HttpRequest& request) const;
  std::shared_ptr<const RoutingSnapshot> snapshot() const { return std::atomic_load(&snapshot_); }

  Host& host_;
  const ProtocolCodec& codec_;
  /// What the process may use; 0 if that is unknown.
  const size_t memory_bytes_;
  MemoryMonitor memory_monitor_;
  EventLoop loop_;
  std::unique_ptr<HttpFrontend> frontend_;
  std::unique_ptr<HttpListener> readiness_listener_;
  /// Written by the control thread and read by this one; accessed only through `std::atomic_load` and
  /// `std::atomic_store`.
  std::shared_ptr<const RoutingSnapshot> snapshot_ =
      std::make_shared<RoutingSnapshot>(RoutingSnapshot{std::make_shared<Metadata>(), {}, {}, false});
  /// When draining began; no value before that. Used only on the routing thread.
  std::optional<TimePoint> draining_since_;
  /// Whether callers may still have requests in progress here. Written by this thread, read by the control thread.
  std::atomic<bool> has_active_callers_{true};
  std::thread thread_;
};

}  // namespace mosskeel
