#pragma once
// Constants of the metadata log and of the daemons that follow it.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// Six fit into the 2 s in which a configuration must be in force.
constexpr Duration kHeartbeatInterval = 300ms;
/// Between discovery rounds of a daemon that has no contact yet.
constexpr Duration kDiscoveryInterval = 200ms;
/// Without contact with a majority for this long, a gateway stops dispatching.
constexpr Duration kIsolationTimeout = 2000ms;
/// Without a majority of the core for this long, all daemons are asked; fits twice into
/// kIsolationTimeout.
constexpr Duration kCoreSilenceTimeout = 900ms;
/// Entries kept behind the checkpoint for catch-up.
constexpr size_t kLogEntriesKept = 512;
/// Bytes of them, encoded; beyond that the whole value is sent.
constexpr size_t kLogBytesKept = 2u << 20;
/// Bytes of entries in a heartbeat's reply; more only for who asks.
constexpr size_t kMaxHeartbeatReplyBytes = 64u << 10;
/// Between catch-up requests of a lagging daemon, so that large replies are not doubled.
constexpr Duration kCatchUpInterval = 500ms;
/// Entries in one reply; beyond that a snapshot is sent.
constexpr size_t kMaxEntriesPerReply = 256;
/// An agent outlives its gateway, which may be starved of processor time.
constexpr Duration kAgentShutdownDelay = 2000ms;

}  // namespace mosskeel
