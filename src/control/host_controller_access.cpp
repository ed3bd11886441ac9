#include "control/host_controller_access.hpp"

#include <thread>

#include "replication/constants.hpp"
#include "runtime/settings.hpp"

namespace mosskeel {
namespace {

/// Opens a mailbox and closes it on destruction.
class OpenMailbox {
 public:
  explicit OpenMailbox(LocalMailboxes& mailboxes) : mailboxes_(mailboxes), opened_(mailboxes.open()) {}
  ~OpenMailbox() { mailboxes_.close(opened_.address); }
  OpenMailbox(const OpenMailbox&) = delete;
  OpenMailbox& operator=(const OpenMailbox&) = delete;

  const Address& address() const { return opened_.address; }

  /// Returns the next message if it is a commit reply. Returns nullopt for any other message, or if none arrived within
  /// `timeout`.
  std::optional<CommitReply> receive_reply(Duration timeout) {
    auto message = opened_.mailbox->pop(timeout);
    if (!message)
      return std::nullopt;
    auto* reply = std::get_if<CommitReply>(&*message);
    if (!reply)
      return std::nullopt;
    return std::move(*reply);
  }

 private:
  LocalMailboxes& mailboxes_;
  LocalMailboxes::Opened opened_;
};

CommitReply unknown_outcome(const std::string& commit_id) {
  CommitReply reply{};
  reply.id = commit_id;
  reply.outcome = CommitOutcome::unknown;
  return reply;
}

}  // namespace

std::string HostControllerAccess::new_commit_id(const std::string& purpose) {
  return purpose + "-" + hex(random_number());
}

CommitReply HostControllerAccess::commit(const Transformation& change, const std::string& commit_id, Duration timeout) {
  OpenMailbox mailbox(mailboxes_);
  const auto deadline = process_now() + timeout;
  auto latest = unknown_outcome(commit_id);
  while (process_now() < deadline && !host_.stopped()) {
    auto view = host_.view();
    Envelope envelope{};
    envelope.from = mailbox.address();
    envelope.cluster = view->cluster;
    envelope.epoch = view->epoch;
    envelope.body = Commit{commit_id, change, view->epoch, (deadline - process_now()).count()};
    host_.post(std::move(envelope));
    // Waits one heartbeat interval longer than the controller's attempt, so that a reply sent at the deadline still
    // arrives.
    auto wait = std::min(attempt_timeout_ + kHeartbeatInterval, deadline - process_now());
    auto reply = mailbox.receive_reply(wait);
    if (!reply)
      continue;
    latest = std::move(*reply);
    if (latest.outcome != CommitOutcome::unknown)
      break;
  }
  return latest;
}

CommitReply HostControllerAccess::refound(const std::vector<DaemonId>& lost) {
  OpenMailbox mailbox(mailboxes_);
  // Refounding has no commit id. The reply says "retry with the same command" instead.
  const std::string id = "the same command";
  Envelope envelope{};
  envelope.from = mailbox.address();
  envelope.cluster = host_.view()->cluster;
  envelope.body = RefoundRequest{id, lost};
  host_.post(std::move(envelope));
  return mailbox.receive_reply(attempt_timeout_).value_or(unknown_outcome(id));
}

void HostControllerAccess::inspect(const std::function<void(ControllerMachine&, TimePoint)>& inspection) {
  host_.ask([&](StateMachine& machine, TimePoint now) { inspection(static_cast<ControllerMachine&>(machine), now); });
}

TimePoint HostControllerAccess::now() {
  return process_now();
}

void HostControllerAccess::pause(Duration duration) {
  std::this_thread::sleep_for(duration);
}

}  // namespace mosskeel
