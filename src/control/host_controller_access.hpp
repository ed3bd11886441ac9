#pragma once
// How the admin API of a controller daemon reaches its state machine.
#include "control/control_session.hpp"
#include "net/local_mailboxes.hpp"
#include "runtime/host.hpp"

namespace mosskeel {

/// Commits by messages to the state machine, each request with a mailbox of its own; reads on the machine's thread.
/// Thread-safe: each HTTP request calls it from its own thread.
class HostControllerAccess : public ControllerAccess {
 public:
  /// `attempt_timeout` is how long the controller itself tries a commit before it answers "unknown".
  HostControllerAccess(Host& host, LocalMailboxes& mailboxes, Duration attempt_timeout)
      : host_(host), mailboxes_(mailboxes), attempt_timeout_(attempt_timeout) {}

  std::string new_commit_id(const std::string& purpose) override;
  CommitReply commit(const Transformation& change, const std::string& commit_id, Duration timeout) override;
  void inspect(const std::function<void(ControllerMachine&, TimePoint now)>& look) override;
  TimePoint now() override;
  void pause(Duration duration) override;
  bool stopped() override { return host_.stopped(); }

  /// Asks the controller to found the core anew without these lost members.
  CommitReply refound(const std::vector<DaemonId>& lost);

 private:
  Host& host_;
  LocalMailboxes& mailboxes_;
  const Duration attempt_timeout_;
};

}  // namespace mosskeel
