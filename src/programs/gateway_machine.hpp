#pragma once
// The state machine of a gateway: owner of its partitions' programs, forwarder of all other requests.
#include "programs/majority_contact.hpp"
#include "programs/request_pipeline.hpp"
#include "replication/follower.hpp"
#include "routing/routing_snapshot.hpp"

namespace mosskeel {

/// Keeps a gateway's view of the cluster by the heartbeats of its agent, and gives messages to the parts that they
/// concern: RequestPipeline serves callers' requests of the product's own interface, TurnCoordinator and TurnClient the
/// turns that gateways carry for callers of the platform's.
///
/// Runs on one thread, its host's; other threads see it by RoutingSnapshot only. Nothing of it is on disk: what must
/// survive it is kept by the stores of its programs' histories.
class GatewayMachine : public StateMachine {
 public:
  /// `id.self.agent_address` is where the agent listens.
  GatewayMachine(const Identity& id, TimePoint now);
  Actions step(const Envelope& envelope, TimePoint now) override;
  Actions tick(TimePoint now) override;
  MetadataSnapshot view() const override { return context_.metadata_log.view(); }

  /// Begins a graceful shutdown: the partitions are handed over and running turns end, then the machine stops. What is
  /// still open when the limits end is answered then.
  void begin_shutdown(const ShutdownLimits& limits);
  /// Whether callers may be sent here.
  bool ready(TimePoint now) const;
  /// Whether requests may be dispatched: see MajorityContact.
  bool has_majority_contact(TimePoint now) const { return majority_contact_.is_valid(now); }
  /// Counters since the process started, by their names on `/metrics`.
  const std::map<std::string, uint64_t>& metrics() const { return context_.counters; }
  size_t active_requests() const { return request_pipeline_.open_requests(); }
  /// What the routing thread of this process may rely on.
  RoutingSnapshot routing_snapshot(TimePoint now) const;
  /// How many callers' sessions the routing thread has open; the machine does not stop before they are over.
  void set_open_routing_sessions(size_t sessions) { open_routing_sessions_ = sessions; }

 private:
  void handle(const Envelope& envelope, TimePoint now);
  void handle(const Envelope& envelope, const HeartbeatReply& reply, TimePoint now);
  void on_epoch_applied(TimePoint now);
  void on_histories_changed(TimePoint now);
  void send_heartbeat(TimePoint now);
  void sweep(TimePoint now);
  void log_majority_contact(TimePoint now);
  void stop_if_drained(TimePoint now);
  /// Whether the process may be killed so soon that who still waits must be told now, by the end of the machine.
  bool must_stop(TimePoint now) const;

  GatewayContext context_;
  Follower follower_;
  HistoryWriter history_writer_;
  TurnCoordinator turn_coordinator_;
  TurnClient turn_client_;
  MajorityContact majority_contact_;
  RequestPipeline request_pipeline_;
  TimePoint next_heartbeat_{};
  TimePoint next_sweep_{};
  TimePoint last_active_{};
  size_t open_routing_sessions_ = 0;
  bool had_majority_contact_ = false;
};

}  // namespace mosskeel
