#pragma once
// The supervisor's lease: a majority of the core grants it, its holder stops before it ends.
#include "consensus/failure_detector.hpp"

namespace mosskeel {

/// Both sides of the lease: what this controller has granted as a member of the core, and what it holds itself.
///
/// Invariant: at most one controller holds the lease. Each member grants it to one controller at a time, for
/// `kSupervisorLeaseDuration` by its own clock; the holder counts from the sending of its request and stops
/// `kSupervisorLeaseMargin` earlier. Nothing is on disk: a member grants nothing for one duration after its start.
/// Owned by `ControllerMachine` and used on its thread only.
class SupervisorLease {
 public:
  /// A member's heartbeat ages, as its last reply to a lease request brought them.
  struct Observation {
    TimePoint received_at{};
    HeartbeatAges heartbeat_ages;
  };

  SupervisorLease(Outbox& outbox, MetadataLog& metadata_log, const FailureDetector& detector, TimePoint start)
      : outbox_(outbox),
        metadata_log_(metadata_log),
        detector_(detector),
        granted_until_(start + kSupervisorLeaseDuration) {}

  void handle(const Envelope& envelope, const LeaseRequest& request, TimePoint now);
  void handle(const Envelope& envelope, const LeaseGrant& grant, TimePoint now);
  /// Requests or renews the lease when it is time.
  void tick(TimePoint now);
  /// Gives the lease back for good: this controller is shutting down.
  void resign();
  /// A controller announced that it shuts down: the lease that was granted to it may go to another at once.
  void on_shutdown_of(Incarnation holder, TimePoint now);
  bool is_held(TimePoint now) const { return now < held_until_; }
  const std::map<Incarnation, Observation>& observations() const { return observations_; }

 private:
  void request_lease(TimePoint now);
  void step_back(TimePoint now);
  /// Lets the members ask one after the other: this one's delay after the lease has become free.
  Duration request_delay() const;

  Outbox& outbox_;
  MetadataLog& metadata_log_;
  const FailureDetector& detector_;
  /// The grant that this member has given: to whom, and until when it gives none to another.
  Incarnation granted_to_{};
  TimePoint granted_until_{};
  /// The request under way: its id, zero for none; when it was sent; who granted it, and whether a member denied it.
  uint64_t request_id_ = 0;
  TimePoint requested_at_{};
  std::set<Incarnation> grants_;
  bool denied_ = false;
  TimePoint next_request_at_{};
  /// Until when this controller is the supervisor.
  TimePoint held_until_{};
  std::map<Incarnation, Observation> observations_;
  /// Whether the log's last note on the lease was that it is held.
  bool noted_as_held_ = false;
  bool resigned_ = false;
};

}  // namespace mosskeel
