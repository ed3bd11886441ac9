#pragma once
// What the parts of a gateway share: who it is, what it knows of the cluster, and what it wants to send.
#include <map>
#include <string>

#include "replication/metadata_log.hpp"
#include "runtime/shutdown_limits.hpp"

namespace mosskeel {

/// Addresses inside this process begin with this: a caller's HTTP session, or the routing thread.
inline constexpr const char* kLocalAddressPrefix = "local:";
/// The address of a replica is this and its name.
inline constexpr const char* kReplicaAddressPrefix = "replica:";

/// Owned by GatewayMachine, referred to by its parts; used in the machine's thread only. Nothing of it is on disk.
struct GatewayContext {
  explicit GatewayContext(const Identity& identity) : outbox(identity) {}

  /// The cluster as this gateway knows it now. The reference is valid until the metadata log changes.
  const Metadata& metadata() const { return *metadata_log.view(); }
  /// This gateway in the directory, or null while it is not registered there.
  const Daemon* self() const { return metadata().find(outbox.id().self.incarnation); }
  /// The owner of a partition's programs, or null where the log names none.
  const Daemon* owner_of(PartitionId partition) const;
  /// Whether this gateway owns the partition's programs.
  bool owns(PartitionId partition) const;
  /// Whether a daemon is this process.
  bool is_self(const Daemon& daemon) const { return daemon.self.incarnation == outbox.id().self.incarnation; }
  /// Sends a message to the daemon's present process; it is dropped there if the daemon has restarted.
  void send(const Daemon& daemon, Message message) {
    outbox.send(daemon.self.address, std::move(message), daemon.self.incarnation);
  }
  /// Adds one to a counter of `/metrics`.
  void count(const std::string& counter) { ++counters[counter]; }

  Outbox outbox;
  MetadataLog metadata_log;
  std::map<std::string, uint64_t> counters;
  /// Set once the gateway was told to shut down: callers' new requests are rejected.
  std::optional<ShutdownLimits> shutdown;
};

/// Whether a daemon is neither down nor gone.
inline bool is_in_service(const Daemon& daemon) {
  return daemon.state != DaemonState::down && daemon.state != DaemonState::left;
}

}  // namespace mosskeel
