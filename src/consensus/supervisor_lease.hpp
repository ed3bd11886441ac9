#pragma once
// The supervisor's lease: a majority of the core grants it, its holder stops before it ends.
#include "consensus/constants.hpp"
#include "consensus/failure_detector.hpp"

namespace mosskeel {

class SupervisorLease {
 public:
  SupervisorLease(Outbox& out, MetadataLog& metadata_log, const FailureDetector& detector, Millis start)
      : out_(out), metadata_log_(metadata_log), detector_(detector), granted_until_(start + kSupervisorLeaseDuration) {}
  void on(const Envelope& e, const LeaseRequest& a, Millis now);
  void on(const Envelope& e, const LeaseGrant& g, Millis now);
  void tick(Millis now);
  /// Gives the lease back for good: its holder is about to stop.
  void resign();
  /// The holder announced that it stops: the lease may go to another at once.
  void on_resigned(Incarnation holder, Millis now);
  bool held(Millis now) const { return now < until_; }
  Incarnation holder() const { return granted_to_; }
  /// Each observer's silences, as told within the lease.
  const std::map<Incarnation, std::pair<Millis, HeartbeatAges>>& observers() const { return seen_; }

 private:
  Outbox& out_;
  MetadataLog& metadata_log_;
  const FailureDetector& detector_;
  Millis granted_until_;
  Incarnation granted_to_{};
  uint64_t number_ = 0;
  Millis asked_ = 0, next_ask_ = 0, until_ = 0;
  std::set<Incarnation> grants_;
  std::map<Incarnation, std::pair<Millis, HeartbeatAges>> seen_;
  bool was_ = false, denied_ = false, resigned_ = false;
};

}  // namespace mosskeel
