#include "consensus/controller_registration.hpp"

#include "consensus/constants.hpp"

namespace mosskeel {

void ControllerRegistration::request_if_needed(TimePoint now) {
  const Metadata& metadata = *metadata_log_.view();
  const DaemonInfo& self = outbox_.id().self;
  const Daemon* registered = metadata.find(self.incarnation);
  bool needed = !registered || registered->state == DaemonState::left;
  if (!needed || now < next_request_at_)
    return;
  next_request_at_ = now + kRegistrationRetryInterval;
  std::string commit_id = "register-" + hex(self.incarnation.value());
  if (registered)
    commit_id += "-" + std::to_string(registered->since.value());
  for (size_t i = 0; i < metadata.members.size(); ++i) {
    const Daemon* member = metadata.find(metadata.members[next_member_++ % metadata.members.size()]);
    if (member->state != DaemonState::down)
      return outbox_.send(member->self.address, Commit{commit_id, Register{self}, metadata.epoch});
  }
}

}  // namespace mosskeel
