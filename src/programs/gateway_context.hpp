#pragma once
// State shared by the components of a gateway: its identity, its view of the cluster, and its outgoing messages.
#include <map>
#include <string>

#include "replication/metadata_log.hpp"
#include "runtime/shutdown_limits.hpp"

namespace mosskeel {

/// Prefix of addresses within this process: those of callers' HTTP sessions and of the routing thread.
inline constexpr const char* kLocalAddressPrefix = "local:";
/// Prefix of a replica's address; the replica's name follows.
inline constexpr const char* kReplicaAddressPrefix = "replica:";

/// Owned by GatewayMachine and referenced by its components; used only on the machine's thread. Not stored on disk.
struct GatewayContext {
  explicit GatewayContext(const Identity& identity) : outbox(identity) {}

  /// This gateway's current view of the cluster. The reference is valid until the metadata log changes.
  const Metadata& metadata() const { return *metadata_log.view(); }
  /// This gateway's directory entry, or null while it is not registered.
  const Daemon* self() const { return metadata().find(outbox.id().self.incarnation); }
  /// The owner of a partition's programs, or null if the log has none.
  const Daemon* owner_of(PartitionId partition) const;
  /// Whether this gateway owns the partition's programs.
  bool owns(PartitionId partition) const;
  /// Whether the daemon is this process.
  bool is_self(const Daemon& daemon) const { return daemon.self.incarnation == outbox.id().self.incarnation; }
  /// Sends a message to the daemon's current incarnation; it is dropped there if the daemon has restarted.
  void send(const Daemon& daemon, Message message) {
    outbox.send(daemon.self.address, std::move(message), daemon.self.incarnation);
  }
  /// Increments a counter of `/metrics`.
  void count(const std::string& counter) { ++counters[counter]; }

  Outbox outbox;
  MetadataLog metadata_log;
  std::map<std::string, uint64_t> counters;
  /// Set once the gateway shuts down: new requests from callers are rejected.
  std::optional<ShutdownLimits> shutdown;
};

/// Whether a daemon is neither down nor has left the cluster.
inline bool is_in_service(const Daemon& daemon) {
  return daemon.state != DaemonState::down && daemon.state != DaemonState::left;
}

}  // namespace mosskeel
