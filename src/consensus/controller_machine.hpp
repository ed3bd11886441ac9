#pragma once
// The controller daemon as a state machine: connects its components and dispatches messages to them.
#include "consensus/controller_registration.hpp"
#include "consensus/failure_detector.hpp"
#include "consensus/founding.hpp"
#include "consensus/graceful_shutdown.hpp"
#include "consensus/message_filter.hpp"
#include "consensus/metadata_journal.hpp"
#include "consensus/open_instance_watch.hpp"
#include "consensus/refounding.hpp"
#include "consensus/supervisor.hpp"

namespace mosskeel {

/// A controller: Paxos acceptor and proposer of the metadata log, failure detector and, while it holds the lease,
/// supervisor. Before a cluster exists it takes part in founding one.
///
/// Persists the metadata log, the acceptor's promise and accepted proposal, and the founders (`ControllerRecord`).
/// Messages that depend on a record are sent only after the record is synced. Not thread-safe: its host calls it on one
/// thread.
class ControllerMachine : public StateMachine {
 public:
  /// Restores persisted state. The storage layer has already refused records that cannot be read.
  ControllerMachine(const Identity& id, const Recovered& recovered, TimePoint now);

  Actions step(const Envelope& envelope, TimePoint now) override;
  Actions tick(TimePoint now) override;
  MetadataSnapshot view() const override { return metadata_log_.view(); }
  std::string checkpoint() const override;
  /// Begins a graceful shutdown: releases the lease, has this member marked down and replaced where possible, then asks
  /// the host to stop the process. Its messages are sent with the next tick.
  void begin_shutdown(TimePoint now);

  const std::deque<Entry>& recent_entries() const { return metadata_log_.recent_entries(); }
  const FailureDetector& failure_detector() const { return detector_; }
  const DaemonInfo& self() const { return outbox_.id().self; }
  bool is_supervisor(TimePoint now) const { return lease_.is_held(now); }
  /// Whether a re-founding removed this controller from the core. It then takes part in nothing any more, and its data
  /// folder must be emptied.
  bool removed_by_refounding() const { return removed_by_refounding_; }
  /// Which acknowledgements an epoch still lacks to be in force, as text; empty once it is in force.
  std::string missing_acknowledgements(Epoch epoch, TimePoint now) const;

 private:
  // One handler for each message type that a controller handles.
  void handle(const Envelope& envelope, const Discover& discover, TimePoint now);
  void handle(const Envelope& envelope, const DiscoverReply& reply, TimePoint now);
  void handle(const Envelope& envelope, const Prepare& prepare, TimePoint now);
  void handle(const Envelope& envelope, const Promise& promise, TimePoint now);
  void handle(const Envelope& envelope, const Accept& accept, TimePoint now);
  void handle(const Envelope& envelope, const Accepted& accepted, TimePoint now);
  void handle(const Envelope& envelope, const Decided& decided, TimePoint now);
  void handle(const Envelope& envelope, const Catchup& request, TimePoint now);
  void handle(const Envelope& envelope, const CatchupReply& reply, TimePoint now);
  void handle(const Envelope& envelope, const QuorumRead& read, TimePoint now);
  void handle(const Envelope& envelope, const QuorumReadReply& reply, TimePoint now);
  void handle(const Envelope& envelope, const Commit& commit, TimePoint now);
  void handle(const Envelope& envelope, const CommitReply& reply, TimePoint now);
  void handle(const Envelope& envelope, const Heartbeat& heartbeat, TimePoint now);
  void handle(const Envelope& envelope, const HeartbeatReply& reply, TimePoint now);
  void handle(const Envelope& envelope, const LeaseRequest& request, TimePoint now);
  void handle(const Envelope& envelope, const LeaseGrant& grant, TimePoint now);
  void handle(const Envelope& envelope, const RefoundRequest& request, TimePoint now);
  /// A controller ignores the messages of histories, programs and turns.
  template <class Ignored>
  void handle(const Envelope&, const Ignored&, TimePoint) {}

  void recover(const Recovered& recovered);
  void recover(const ControllerRecord& record);
  void request_missing_entries(const Envelope& envelope, TimePoint now);
  void apply_updates(const Entries& entries, const std::optional<Metadata>& snapshot);
  bool may_vote(TimePoint now) const;
  void send_heartbeats(TimePoint now);
  void react_to_new_epoch(Epoch before, TimePoint now);
  Actions take_actions();

  Outbox outbox_;
  MetadataLog metadata_log_;
  Acceptor acceptor_;
  MetadataJournal journal_;
  MessageFilter filter_;
  FailureDetector detector_;
  SupervisorLease lease_;
  Supervisor supervisor_;
  Proposer proposer_;
  OpenInstanceWatch open_instance_;
  CatchupRateLimiter catch_up_limiter_;
  DiscoveredControllers discovered_;
  Founding founding_;
  Refounding refounding_;
  ControllerRegistration registration_;
  GracefulShutdown shutdown_;
  TimePoint next_heartbeat_at_{};
  /// Bytes written to the journal since the last checkpoint.
  size_t journal_bytes_ = 0;
  bool removed_by_refounding_ = false;
};

}  // namespace mosskeel
