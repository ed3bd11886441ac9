#pragma once
// One operator's request on one controller.
#include "consensus/controller_machine.hpp"
#include "control/cluster_control.hpp"

namespace mosskeel {

/// What a request needs of the controller that it reached. `HostControllerAccess` is the daemon's; tests and the
/// simulator have their own.
class ControllerAccess {
 public:
  virtual ~ControllerAccess() = default;
  /// An id that no other commit has: what the commit is for, and random digits.
  virtual std::string new_commit_id(const std::string& purpose) = 0;
  /// Commits a change under this id; returns at a known outcome or after `timeout`, then with an unknown one.
  virtual CommitReply commit(const Transformation& change, const std::string& commit_id, Duration timeout) = 0;
  /// Calls `look` on the state machine, on its own thread, and waits for it to return.
  virtual void inspect(const std::function<void(ControllerMachine&, TimePoint now)>& look) = 0;
  /// The state machine's clock.
  virtual TimePoint now() = 0;
  virtual void pause(Duration duration) = 0;
  /// Whether the state machine has stopped: it answers nothing more.
  virtual bool stopped() = 0;
};

/// A linearizable read: metadata at least as new as what a majority of the core confirmed since the call; null where
/// no majority answered within `timeout`.
MetadataSnapshot linearizable_read(ControllerAccess& controller, Duration timeout);

/// Why it is not safe to drain a store now, by what this controller has observed. Nothing for a safe drain and for
/// every other change.
std::optional<std::string> drain_hazard(const ControllerMachine& controller, const Transformation& change,
                                        TimePoint now);

/// Carries out the steps of one operator's request; all of them share one deadline. Used on the request's own thread.
class ControlSession : public ClusterControl {
 public:
  /// The request is answered within `kOperatorRequestTimeout` of `arrived_at`.
  ControlSession(ControllerAccess& controller, TimePoint arrived_at);

  std::optional<Unavailable> unavailability() override;
  MetadataSnapshot read_metadata() override;
  CommandResult wait_until_in_force() override;
  CommandResult apply_configuration(const std::string& commit_id, Revision base, Revision revision,
                                    const Configuration& configuration) override;
  CommandResult evacuate(const std::string& zone) override;
  CommandResult restore(const std::string& zone) override;
  CommandResult retire(const std::string& machine) override;
  RetirementState retirement_state(const std::string& machine) override;

 private:
  Duration time_left();
  /// Commits a change and waits until it is in force.
  CommandResult execute(const Transformation& change, const std::string& commit_id);
  CommandResult wait_until_in_force(Epoch epoch);
  /// Why a commit may have had no reply in time: whose acknowledgements the newest epoch here lacks.
  std::string describe_silence();

  ControllerAccess& controller_;
  TimePoint deadline_{};
};

}  // namespace mosskeel
