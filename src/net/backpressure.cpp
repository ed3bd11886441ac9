#include "net/backpressure.hpp"

namespace mosskeel {

void Backpressure::on_forwarded(uint64_t exchange, uint64_t upstream_request) {
  if (listener_.unsent_bytes(exchange) <= HttpListener::kHighWatermark) {
    return;
  }
  bool newly_paused = paused_.emplace(exchange, upstream_request).second;
  if (newly_paused) {
    upstream_client_.pause_reading(upstream_request);
  }
}

void Backpressure::on_drained(uint64_t exchange) {
  if (auto paused = paused_.extract(exchange)) {
    upstream_client_.resume_reading(paused.mapped());
  }
}

}  // namespace mosskeel
