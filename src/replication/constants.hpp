#pragma once
// Constants of the metadata log and of the daemons that follow it.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// Milliseconds; six fit into the 2 s in which a configuration must be in force.
constexpr Millis kHeartbeatInterval = 300;
/// Milliseconds; between discovery rounds of a daemon that has no contact yet.
constexpr Millis kDiscoveryInterval = 200;
/// Milliseconds; without contact with a majority for this long, a gateway stops dispatching.
constexpr Millis kIsolationTimeout = 2000;
/// Milliseconds; without a majority of the core for this long, all daemons are asked; fits twice into
/// kIsolationTimeout.
constexpr Millis kCoreSilenceTimeout = 900;
/// Entries kept behind the checkpoint for catch-up.
constexpr size_t kLogEntriesKept = 512;
/// Bytes of them, encoded; beyond that the whole value is sent.
constexpr size_t kLogBytesKept = 2u << 20;
/// Bytes of entries in a heartbeat's reply; more only for who asks.
constexpr size_t kMaxHeartbeatReplyBytes = 64u << 10;
/// Milliseconds; between catch-up requests of a lagging daemon, so that large replies are not doubled.
constexpr Millis kCatchUpInterval = 500;
/// Entries in one reply; beyond that a snapshot is sent.
constexpr size_t kMaxEntriesPerReply = 256;
/// Milliseconds; an agent outlives its gateway, which may be starved of processor time.
constexpr Millis kAgentShutdownDelay = 2000;

}  // namespace mosskeel
