#pragma once
// Flow control between the two connections of a proxied response.
#include "net/http_listener.hpp"
#include "net/upstream_client.hpp"

namespace mosskeel {

/// Stops reading a replica's response while its caller takes it more slowly than it comes, so that the bytes held for
/// one exchange stay bounded: by `HttpListener::kHighWatermark` and one read of the upstream client. On the loop's
/// thread.
class Backpressure {
 public:
  Backpressure(HttpListener& listener, UpstreamClient& upstream_client)
      : listener_(listener), upstream_client_(upstream_client) {}
  /// Bytes of the response to `upstream_request` have been given to the caller's exchange.
  void on_forwarded(uint64_t exchange, uint64_t upstream_request);
  /// The caller has taken most of what waited for it.
  void on_drained(uint64_t exchange);
  /// The exchange is over, however it ended.
  void on_finished(uint64_t exchange) { paused_.erase(exchange); }
  /// How many responses are not being read now.
  size_t paused() const { return paused_.size(); }

 private:
  HttpListener& listener_;
  UpstreamClient& upstream_client_;
  /// From exchanges to the upstream requests whose responses are not read for their sake.
  std::unordered_map<uint64_t, uint64_t> paused_;
};

}  // namespace mosskeel
