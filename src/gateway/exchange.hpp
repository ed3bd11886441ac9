#pragma once
// The traffic thread of a gateway: sockets to callers and replicas around the traffic's machine.
#include "request/gateway_machine.hpp"
#include "kernel/host.hpp"
#include "kernel/http_listener.hpp"
#include "kernel/upstream_client.hpp"
#include "traffic/traffic.hpp"

namespace mosskeel {

class Exchange {
 public:
  /// Findings where an address can't be listened on. `ready` may be empty.
  static Result<std::unique_ptr<Exchange>> open(Host& h, const Dialect& d, const Address& front, const Address& ready);
  ~Exchange();
  /// No more sessions are kept; what runs goes on.
  void leave();
  size_t calls() const { return calls_; }

 private:
  Exchange(Host& h, const Dialect& d) : host_(h), dialect_(d), traffic_(d) {}
  void tick();
  void happen(traffic::Event e);
  void act(traffic::Actions v);
  void publish(Machine& m, Millis now);
  Host& host_;
  const Dialect& dialect_;
  Loop loop_;
  std::unique_ptr<HttpListener> callers_, ready_;
  std::unique_ptr<UpstreamClient> replicas_;
  traffic::Traffic traffic_;
  std::shared_ptr<const RoutingSnapshot> snapshot_ =
      std::make_shared<RoutingSnapshot>(RoutingSnapshot{std::make_shared<Metadata>(), {}, 0, false, false});
  /// From the traffic's own numbers to the upstream_client's and back.
  std::unordered_map<uint64_t, uint64_t> asks_, names_;
  Revision limits_of_{};
  std::atomic<size_t> calls_{0};
  std::thread thread_;
};

}  // namespace mosskeel
