#pragma once
// Constants of the metadata log and of its followers.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// Time between heartbeats. Six intervals fit into the 2 s within which a configuration must be in force.
constexpr Duration kHeartbeatInterval = 300ms;
/// Time between discovery rounds of a daemon that has no contact yet.
constexpr Duration kDiscoveryInterval = 200ms;
/// A gateway stops dispatching when it has had no contact with a majority for this long.
constexpr Duration kIsolationTimeout = 2000ms;
/// A daemon without contact with a majority of the core for this long also sends heartbeats to all gateways and stores.
/// Fits twice into kIsolationTimeout.
constexpr Duration kCoreSilenceTimeout = 900ms;
/// Maximum number of applied entries kept in memory for catch-up.
constexpr size_t kLogEntriesKept = 512;
/// Maximum encoded size of these entries in bytes; a daemon that lacks older ones is sent a snapshot.
constexpr size_t kLogBytesKept = 2u << 20;
/// Maximum bytes of entries in a heartbeat reply; larger updates are sent only on request.
constexpr size_t kMaxHeartbeatReplyBytes = 64u << 10;
/// Time between catch-up requests of a lagging daemon, so that large replies are not sent twice.
constexpr Duration kCatchUpInterval = 500ms;
/// Maximum number of entries in one reply; a snapshot is sent instead of more.
constexpr size_t kMaxEntriesPerReply = 256;
/// How long a gateway must be silent before its agent stops; the gateway may only be starved of CPU time.
constexpr Duration kAgentShutdownDelay = 2000ms;

}  // namespace mosskeel
