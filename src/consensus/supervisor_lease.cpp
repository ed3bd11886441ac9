#include "consensus/supervisor_lease.hpp"
#include "consensus/constants.hpp"

#include <algorithm>

namespace mosskeel {

void SupervisorLease::on(const Envelope& e, const LeaseRequest& a, Millis now) {
  auto& m = *metadata_log_.view();
  if (!m.is_core_member(e.from_inc) || !m.is_core_member(out_.id().self.incarnation))
    return;
  bool yes = now >= granted_until_ || granted_to_ == e.from_inc;
  if (yes) {
    granted_to_ = e.from_inc;
    granted_until_ = now + kSupervisorLeaseDuration;
  }
  out_.send(e.from, LeaseGrant{a.request_id, yes, detector_.heartbeat_ages(m, now)}, e.from_inc);
}

void SupervisorLease::on(const Envelope& e, const LeaseGrant& g, Millis now) {
  auto& m = *metadata_log_.view();
  if (g.request_id != number_ || !m.is_core_member(e.from_inc))
    return;
  seen_[e.from_inc] = {now, g.heartbeat_ages};
  denied_ = denied_ || !g.granted;
  // Who knows a later epoch than we do shows that our log is old: nothing may be decided on it.
  if (!g.granted || e.epoch > metadata_log_.epoch())
    return;
  grants_.insert(e.from_inc);
  if (grants_.size() >= majority_of(m.members.size()))
    until_ = asked_ + kSupervisorLeaseDuration - kSupervisorLeaseMargin;
}

void SupervisorLease::resign() {
  resigned_ = true;
  until_ = 0;
  number_ = 0;
}

void SupervisorLease::on_resigned(Incarnation holder, Millis now) {
  if (granted_to_ != holder)
    return;
  granted_to_ = {};
  granted_until_ = now;
  auto& m = *metadata_log_.view();
  auto rank = std::find_if(m.members.begin(), m.members.end(),
                           [&](auto id) { return m.find(id)->self.incarnation == out_.id().self.incarnation; });
  next_ask_ = now + 1 + (rank - m.members.begin()) * kSupervisorLeaseMargin / 2;
}

void SupervisorLease::tick(Millis now) {
  auto& m = *metadata_log_.view();
  auto me = out_.id().self.incarnation;
  if (held(now) != was_) {
    was_ = !was_;
    out_.note(was_ ? Event::lease_taken : Event::lease_lost, "number " + std::to_string(number_));
  }
  if (resigned_ || !m.is_core_member(me) || now < next_ask_)
    return;
  if (now < granted_until_ && granted_to_ != me) {
    auto rank =
        std::find_if(m.members.begin(), m.members.end(), [&](auto id) { return m.find(id)->self.incarnation == me; });
    next_ask_ = granted_until_ + 1 + (rank - m.members.begin()) * kSupervisorLeaseMargin / 2;
    return;
  }
  if (denied_ && !held(now)) {
    // Two who each grant themselves would deny each other for ever: step back, and let whoever asks first have it.
    denied_ = false;
    if (granted_to_ == me)
      granted_to_ = {}, granted_until_ = now;
    number_ = 0;
    next_ask_ = now + 1 + out_.jitter(kSupervisorLeaseRenewInterval);
    return;
  }
  next_ask_ = now + kSupervisorLeaseRenewInterval;
  asked_ = now;
  number_ = out_.roll();
  grants_.clear();
  denied_ = false;
  for (auto id : m.members)
    out_.send(m.find(id)->self.address, LeaseRequest{number_}, m.find(id)->self.incarnation);
}

}  // namespace mosskeel
