#pragma once
// The agent beside a gateway: its link to the core, its feed, its voice.
#include "replication/follower.hpp"

namespace mosskeel {

class AgentMachine : public Machine {
 public:
  AgentMachine(const Identity& id, Millis now);
  Actions step(const Envelope& e, Millis now) override;
  Actions tick(Millis now) override;
  View view() const override { return metadata_log_.view(); }
  /// Stops once the gateway beside it has been silent for a while: it goes first and needs its link until then.
  void leave() { leaving_ = true; }

 private:
  Outbox out_;
  MetadataLog metadata_log_;
  Follower follower_;
  std::optional<Heartbeat> mine_;
  Millis heard_ = 0, next_leave_ = 0;
  /// Told to leave; and since then a newer gateway has taken the place of the one that this agent waits for.
  bool leaving_ = false, gateway_replaced_ = false;
};

}  // namespace mosskeel
