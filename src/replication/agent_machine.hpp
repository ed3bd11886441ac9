#pragma once
// The agent that runs beside a gateway and connects it to the core.
#include "replication/follower.hpp"
#include "runtime/shutdown_limits.hpp"

namespace mosskeel {

/// Follows the metadata log and forwards each entry to its gateway; forwards the gateway's heartbeats to the core.
/// Persists nothing.
class AgentMachine : public StateMachine {
 public:
  AgentMachine(const Identity& id, TimePoint now);
  Actions step(const Envelope& envelope, TimePoint now) override;
  Actions tick(TimePoint now) override;
  MetadataSnapshot view() const override { return metadata_log_.view(); }
  /// Begins to shut down. The agent stops once its gateway has been silent for `kAgentShutdownDelay` or was replaced by
  /// a newer one, because the gateway stops first and needs the connection until then; at the latest when the shutdown
  /// has to end.
  void leave(const ShutdownLimits& limits) { shutdown_ = limits; }

 private:
  /// Sends an entry that was applied to the log to the gateway.
  void forward_entry(const Entry& entry);
  void record_gateway_heartbeat(const Heartbeat& heartbeat, TimePoint now);
  void tick_follower(TimePoint now);
  /// Asks the core to drain a gateway that is shutting down.
  void request_drain(const Daemon& gateway, TimePoint now);

  Outbox outbox_;
  MetadataLog metadata_log_;
  Follower follower_;
  /// The last heartbeat of the gateway, and when it arrived.
  std::optional<Heartbeat> gateway_heartbeat_;
  TimePoint last_gateway_contact_at_{};
  TimePoint next_drain_request_at_{};
  /// Set once this agent shuts down.
  std::optional<ShutdownLimits> shutdown_;
  /// Whether a newer gateway has replaced this agent's gateway since the shutdown began.
  bool gateway_replaced_ = false;
};

}  // namespace mosskeel
