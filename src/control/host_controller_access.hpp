#pragma once
// Access of a controller daemon's admin API to its state machine.
#include "control/control_session.hpp"
#include "net/local_mailboxes.hpp"
#include "runtime/host.hpp"

namespace mosskeel {

/// Commits by sending messages to the state machine, with a separate mailbox for each request, and reads on the state
/// machine's thread. Thread-safe: each HTTP request calls it from its own thread.
class HostControllerAccess : public ControllerAccess {
 public:
  /// `attempt_timeout` is how long the controller attempts a commit before it replies with an unknown outcome.
  HostControllerAccess(Host& host, LocalMailboxes& mailboxes, Duration attempt_timeout)
      : host_(host), mailboxes_(mailboxes), attempt_timeout_(attempt_timeout) {}

  std::string new_commit_id(const std::string& purpose) override;
  CommitReply commit(const Transformation& change, const std::string& commit_id, Duration timeout) override;
  void inspect(const std::function<void(ControllerMachine&, TimePoint now)>& inspection) override;
  TimePoint now() override;
  void pause(Duration duration) override;
  bool stopped() override { return host_.stopped(); }

  /// Asks the controller to refound the core without these lost members.
  CommitReply refound(const std::vector<DaemonId>& lost);

 private:
  Host& host_;
  LocalMailboxes& mailboxes_;
  const Duration attempt_timeout_;
};

}  // namespace mosskeel
