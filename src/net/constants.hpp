#pragma once
// Limits for sockets, HTTP and the transport between daemons.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// Maximum size of an HTTP request body that the APIs accept.
constexpr size_t kMaxHttpBodyBytes = 1u << 20;
/// Maximum connections of one HttpServer, which uses one thread per connection.
constexpr unsigned kMaxHttpConnections = 2000;
/// Queue length, in messages, of each peer's send socket and of the receive socket; messages beyond it are dropped.
constexpr int kMaxQueuedMessagesPerPeer = 1024;

}  // namespace mosskeel
