#pragma once
// The agent beside a gateway: its link to the core.
#include "replication/follower.hpp"

namespace mosskeel {

/// Follows the metadata log and passes each entry on to its gateway; speaks for the gateway with the heartbeats that
/// this sends it. Nothing is on disk.
class AgentMachine : public StateMachine {
 public:
  AgentMachine(const Identity& id, TimePoint now);
  Actions step(const Envelope& envelope, TimePoint now) override;
  Actions tick(TimePoint now) override;
  MetadataSnapshot view() const override { return metadata_log_.view(); }
  /// Stops once the gateway beside it has been silent for `kAgentShutdownDelay`, or was replaced by a newer one: the
  /// gateway goes first and needs its link until then.
  void leave() { leaving_ = true; }

 private:
  /// Sends an entry that the log took to the gateway.
  void pass_on(const Entry& entry);
  void take_gateway_heartbeat(const Heartbeat& heartbeat, TimePoint now);
  void follow(TimePoint now);
  /// Asks the core to drain a gateway that leaves.
  void request_drain(const Daemon& gateway, TimePoint now);

  Outbox outbox_;
  MetadataLog metadata_log_;
  Follower follower_;
  /// The last heartbeat of the gateway, and when it came.
  std::optional<Heartbeat> gateway_heartbeat_;
  TimePoint last_gateway_contact_at_{};
  TimePoint next_drain_request_at_{};
  bool leaving_ = false;
  /// Since `leaving_`, a newer gateway has taken the place of the one that this agent waits for.
  bool gateway_replaced_ = false;
};

}  // namespace mosskeel
