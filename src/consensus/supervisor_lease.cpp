#include "consensus/supervisor_lease.hpp"

#include <algorithm>

#include "consensus/constants.hpp"

namespace mosskeel {

void SupervisorLease::handle(const Envelope& envelope, const LeaseRequest& request, TimePoint now) {
  const Metadata& metadata = *metadata_log_.view();
  if (!metadata.is_core_member(envelope.from_incarnation) || !metadata.is_core_member(outbox_.id().self.incarnation))
    return;
  bool granted = now >= granted_until_ || granted_to_ == envelope.from_incarnation;
  if (granted) {
    granted_to_ = envelope.from_incarnation;
    granted_until_ = now + kSupervisorLeaseDuration;
  }
  outbox_.send(envelope.from, LeaseGrant{request.request_id, granted, detector_.heartbeat_ages(metadata, now)},
               envelope.from_incarnation);
}

void SupervisorLease::handle(const Envelope& envelope, const LeaseGrant& grant, TimePoint now) {
  const Metadata& metadata = *metadata_log_.view();
  if (grant.request_id != request_id_ || !metadata.is_core_member(envelope.from_incarnation))
    return;
  observations_[envelope.from_incarnation] = {now, grant.heartbeat_ages};
  denied_ = denied_ || !grant.granted;
  // A member that knows a later epoch shows that this log is out of date, so no decision may be based on it.
  if (!grant.granted || envelope.epoch > metadata_log_.epoch())
    return;
  grants_.insert(envelope.from_incarnation);
  if (grants_.size() >= majority_of(metadata.members.size()))
    held_until_ = requested_at_ + kSupervisorLeaseDuration - kSupervisorLeaseMargin;
}

void SupervisorLease::resign() {
  resigned_ = true;
  held_until_ = {};
  request_id_ = 0;
}

void SupervisorLease::on_shutdown_of(Incarnation holder, TimePoint now) {
  if (granted_to_ != holder)
    return;
  granted_to_ = {};
  granted_until_ = now;
  next_request_at_ = now + request_delay();
}

Duration SupervisorLease::request_delay() const {
  const Metadata& metadata = *metadata_log_.view();
  auto self = std::find_if(metadata.members.begin(), metadata.members.end(), [&](DaemonId id) {
    return metadata.find(id)->self.incarnation == outbox_.id().self.incarnation;
  });
  return 1ms + (self - metadata.members.begin()) * kSupervisorLeaseMargin / 2;
}

void SupervisorLease::tick(TimePoint now) {
  Incarnation self = outbox_.id().self.incarnation;
  if (is_held(now) != logged_as_held_) {
    logged_as_held_ = !logged_as_held_;
    outbox_.log_event(logged_as_held_ ? Event::lease_taken : Event::lease_lost,
                      "lease request " + std::to_string(request_id_));
  }
  if (resigned_ || !metadata_log_.view()->is_core_member(self) || now < next_request_at_)
    return;
  if (now < granted_until_ && granted_to_ != self)
    next_request_at_ = granted_until_ + request_delay();
  else if (denied_ && !is_held(now))
    back_off(now);
  else
    request_lease(now);
}

/// Releases this controller's grant to itself. Two controllers that have each granted themselves would otherwise deny
/// each other forever; after a random delay, whichever requests first gets the lease.
void SupervisorLease::back_off(TimePoint now) {
  denied_ = false;
  if (granted_to_ == outbox_.id().self.incarnation) {
    granted_to_ = {};
    granted_until_ = now;
  }
  request_id_ = 0;
  next_request_at_ = now + 1ms + outbox_.jitter(kSupervisorLeaseRenewInterval);
}

void SupervisorLease::request_lease(TimePoint now) {
  next_request_at_ = now + kSupervisorLeaseRenewInterval;
  requested_at_ = now;
  request_id_ = outbox_.next_random();
  grants_.clear();
  denied_ = false;
  const Metadata& metadata = *metadata_log_.view();
  for (DaemonId id : metadata.members) {
    const DaemonInfo& member = metadata.find(id)->self;
    outbox_.send(member.address, LeaseRequest{request_id_}, member.incarnation);
  }
}

}  // namespace mosskeel
