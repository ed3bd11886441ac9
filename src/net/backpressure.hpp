#pragma once
// Flow control between the two connections of a proxied response.
#include "net/http_listener.hpp"
#include "net/upstream_client.hpp"

namespace mosskeel {

/// Pauses reading a replica's response while the caller receives it more slowly than it arrives. This bounds the bytes
/// buffered for one exchange to `HttpListener::kHighWatermark` plus one read of the upstream client. Must be used on
/// the event loop's thread.
class Backpressure {
 public:
  Backpressure(HttpListener& listener, UpstreamClient& upstream_client)
      : listener_(listener), upstream_client_(upstream_client) {}
  /// Must be called after bytes of the response to `upstream_request` were passed to the caller's exchange.
  void on_forwarded(uint64_t exchange, uint64_t upstream_request);
  /// Must be called when the caller's unsent bytes have fallen below the low watermark.
  void on_drained(uint64_t exchange);
  /// Must be called when the exchange has ended, whether or not it succeeded.
  void on_finished(uint64_t exchange) { paused_.erase(exchange); }
  /// Number of responses whose reading is paused.
  size_t paused() const { return paused_.size(); }

 private:
  HttpListener& listener_;
  UpstreamClient& upstream_client_;
  /// Maps each exchange with a paused response to its upstream request.
  std::unordered_map<uint64_t, uint64_t> paused_;
};

}  // namespace mosskeel
