#include "net/backpressure.hpp"

namespace mosskeel {

void Backpressure::on_forwarded(uint64_t exchange, uint64_t upstream) {
  if (callers_.unsent_bytes(exchange) <= HttpListener::high_watermark)
    return;
  if (!paused_.emplace(exchange, upstream).second)
    return;
  replicas_.pause(upstream, true);
}

void Backpressure::on_drained(uint64_t exchange) {
  auto held = paused_.extract(exchange);
  if (held)
    replicas_.pause(held.mapped(), false);
}

}  // namespace mosskeel
