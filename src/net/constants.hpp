#pragma once
// Constants of sockets, HTTP and the links between daemons.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// Bytes; the largest HTTP body that is accepted.
constexpr size_t kMaxHttpBodyBytes = 1u << 20;
/// Connections of one HTTP listener.
constexpr unsigned kMaxHttpConnections = 2000;
/// Messages that may wait for one peer.
constexpr int kMaxQueuedMessagesPerPeer = 1024;

}  // namespace mosskeel
