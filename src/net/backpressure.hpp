#pragma once
// Flow control between an answer's two connections.
#include "net/http_listener.hpp"
#include "net/upstream_client.hpp"

namespace mosskeel {

/// Stops reading a replica's answer while its caller takes it more slowly than it comes, so that the bytes held for one
/// connection stay bounded: by `HttpListener::high_watermark` and one read of the upstream client.
class Backpressure {
 public:
  Backpressure(HttpListener& callers, UpstreamClient& replicas) : callers_(callers), replicas_(replicas) {}
  /// Bytes of the answer to `upstream` have been given to the caller's exchange.
  void on_forwarded(uint64_t exchange, uint64_t upstream);
  /// The caller has taken most of what was waiting for it.
  void on_drained(uint64_t exchange);
  /// The exchange is over.
  void on_finished(uint64_t exchange) { paused_.erase(exchange); }
  size_t paused() const { return paused_.size(); }

 private:
  HttpListener& callers_;
  UpstreamClient& replicas_;
  /// Exchanges whose answer is held back, with the ask that is paused for them.
  std::unordered_map<uint64_t, uint64_t> paused_;
};

}  // namespace mosskeel
