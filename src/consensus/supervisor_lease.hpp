#pragma once
// The supervisor lease: granted by a majority of the core; its holder stops before the lease expires.
#include "consensus/failure_detector.hpp"

namespace mosskeel {

/// Both sides of the lease: what this controller has granted as a core member, and whether it holds the lease itself.
///
/// Invariant: at most one controller holds the lease. Each member grants it to one controller at a time, for
/// `kSupervisorLeaseDuration` by its own clock. The holder counts from when it sent its request, and stops
/// `kSupervisorLeaseMargin` before the end. Grants are not persisted, so a member grants nothing for one lease duration
/// after its start. Owned by `ControllerMachine` and used on its thread only.
class SupervisorLease {
 public:
  /// The heartbeat ages in a member's last reply to a lease request.
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
  /// Requests or renews the lease when that is due.
  void tick(TimePoint now);
  /// Gives up the lease and never requests it again; called when this controller shuts down.
  void resign();
  /// Handles a controller's shutdown announcement: a lease granted to it may be granted to another controller at once.
  void on_shutdown_of(Incarnation holder, TimePoint now);
  bool is_held(TimePoint now) const { return now < held_until_; }
  const std::map<Incarnation, Observation>& observations() const { return observations_; }

 private:
  void request_lease(TimePoint now);
  void back_off(TimePoint now);
  /// This member's delay before it requests a free lease; staggered, so that members request one after the other.
  Duration request_delay() const;

  Outbox& outbox_;
  MetadataLog& metadata_log_;
  const FailureDetector& detector_;
  /// The controller to which this member has granted the lease, and until when no other one is granted it.
  Incarnation granted_to_{};
  TimePoint granted_until_{};
  /// The request in flight: its id, zero if none; when it was sent; who granted it, and whether a member denied it.
  uint64_t request_id_ = 0;
  TimePoint requested_at_{};
  std::set<Incarnation> grants_;
  bool denied_ = false;
  TimePoint next_request_at_{};
  /// Until when this controller holds the lease.
  TimePoint held_until_{};
  std::map<Incarnation, Observation> observations_;
  /// Whether the last log event about the lease reported it as held.
  bool logged_as_held_ = false;
  bool resigned_ = false;
};

}  // namespace mosskeel
