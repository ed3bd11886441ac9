#pragma once
// Limits for sockets, HTTP and the transport between daemons.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// Maximum size of an HTTP request body that the APIs accept.
constexpr size_t kMaxHttpBodyBytes = 1u << 20;
/// Maximum connections of one HttpServer, which uses one thread per connection.
constexpr unsigned kMaxHttpConnections = 2000;
/// Messages from other daemons that nng holds until the receiving thread takes them; further ones wait at their
/// senders.
constexpr int kMaxReceivedMessages = 1024;

}  // namespace mosskeel
