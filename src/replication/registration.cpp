#include "replication/registration.hpp"

#include "runtime/constants.hpp"

namespace mosskeel {

void Registration::tick(TimePoint now, const DaemonInfo& self) {
  auto& metadata = *metadata_log_.view();
  auto* registered = metadata.find(self.incarnation);
  log_state_change(self, registered);
  if (registered)
    return;

  // Requests are rejected while a predecessor at this address may still run, so retry at once when it is marked down.
  auto* predecessor = metadata.find_at(self.address);
  if (predecessor && predecessor->state == DaemonState::down && predecessor->since != predecessor_down_since_) {
    predecessor_down_since_ = predecessor->since;
    next_request_at_ = now;
  }
  if (now < next_request_at_ || metadata.members.empty())
    return;
  next_request_at_ = now + kCommitAttemptTimeout / 2;
  send_request(self);
}

void Registration::log_state_change(const DaemonInfo& self, const Daemon* registered) {
  auto state = registered ? std::optional(registered->state) : std::nullopt;
  bool has_left = state == DaemonState::left;
  if (state && state != last_state_ && (!last_state_ || has_left))
    outbox_.log_event(has_left ? Event::lost_identity : Event::registered,
                      self.address + " is daemon " + std::to_string(registered->id.value()));
  last_state_ = state;
}

void Registration::send_request(const DaemonInfo& self) {
  auto& metadata = *metadata_log_.view();
  for (size_t i = 0; i < metadata.members.size(); ++i) {
    auto* member = metadata.find(metadata.members[requests_++ % metadata.members.size()]);
    if (member->state == DaemonState::down)
      continue;
    auto commit_id = "register-" + hex(self.incarnation.value());
    return outbox_.send(member->self.address, Commit{commit_id, Register{self}, metadata_log_.epoch(), {}});
  }
}

}  // namespace mosskeel
