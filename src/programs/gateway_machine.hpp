#pragma once
// The state machine of a gateway: owns the programs of its partitions, and forwards requests to all other programs.
#include "programs/majority_contact.hpp"
#include "programs/request_pipeline.hpp"
#include "replication/follower.hpp"
#include "routing/routing_snapshot.hpp"

namespace mosskeel {

/// Maintains a gateway's view of the cluster from its agent's heartbeats, and dispatches messages to its components:
/// RequestPipeline processes requests of the native API, TurnCoordinator and TurnClient process turns of the platform's
/// HTTP interface.
///
/// Runs on its host's thread only; other threads see its state only through RoutingSnapshot. Stores nothing on disk:
/// state that must survive the process is in the stores of the programs' histories.
class GatewayMachine : public StateMachine {
 public:
  /// `id.self.agent_address` is the listening address of the agent.
  GatewayMachine(const Identity& id, TimePoint now);
  Actions step(const Envelope& envelope, TimePoint now) override;
  Actions tick(TimePoint now) override;
  MetadataSnapshot view() const override { return context_.metadata_log.view(); }

  /// Starts a graceful shutdown: the machine hands over its partitions, lets running turns end, and stops. Requests
  /// that are still open when the limits expire get a response at that time.
  void begin_shutdown(const ShutdownLimits& limits);
  /// Whether callers may be routed to this gateway.
  bool ready(TimePoint now) const;
  /// Whether requests may be dispatched; see MajorityContact.
  bool has_majority_contact(TimePoint now) const { return majority_contact_.is_valid(now); }
  /// Counters since the process start, keyed by their names on `/metrics`.
  const std::map<std::string, uint64_t>& metrics() const { return context_.counters; }
  size_t active_requests() const { return request_pipeline_.open_requests(); }
  /// The state that the routing thread of this process works with.
  RoutingSnapshot routing_snapshot(TimePoint now) const;
  /// Sets the number of callers' sessions that are open on the routing thread; the machine does not stop before they
  /// end.
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
  /// Whether the process may be killed so soon that the machine must stop now, which answers all waiting callers.
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
