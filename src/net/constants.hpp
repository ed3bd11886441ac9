#pragma once
// Constants of sockets, HTTP and the links between daemons.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// Bytes; the largest HTTP body that the APIs accept.
constexpr size_t kMaxHttpBodyBytes = 1u << 20;
/// Connections of one HttpServer, which has a thread for each.
constexpr unsigned kMaxHttpConnections = 2000;
/// Messages that wait for one peer, and for the reader of the own socket; more are dropped.
constexpr int kMaxQueuedMessagesPerPeer = 1024;

}  // namespace mosskeel
