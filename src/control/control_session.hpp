#pragma once
// Executes one operator's request on one controller.
#include "consensus/controller_machine.hpp"
#include "control/cluster_control.hpp"

namespace mosskeel {

/// A request's access to the controller that received it. The daemon uses `HostControllerAccess`; tests and the
/// simulator have their own implementations.
class ControllerAccess {
 public:
  virtual ~ControllerAccess() = default;
  /// Returns a unique commit id: `purpose` followed by random digits.
  virtual std::string new_commit_id(const std::string& purpose) = 0;
  /// Commits a change under this id. Returns as soon as the outcome is known, or an unknown outcome after `timeout`.
  virtual CommitReply commit(const Transformation& change, const std::string& commit_id, Duration timeout) = 0;
  /// Calls `inspection` with the state machine, on its thread, and waits for it to return.
  virtual void inspect(const std::function<void(ControllerMachine&, TimePoint now)>& inspection) = 0;
  /// Returns the time of the state machine's clock.
  virtual TimePoint now() = 0;
  virtual void pause(Duration duration) = 0;
  /// Returns whether the state machine has stopped and no longer responds.
  virtual bool stopped() = 0;
};

/// Performs a linearizable read: returns metadata at least as new as what a majority of the core confirmed after the
/// call. Returns null if no majority answered within `timeout`.
MetadataSnapshot linearizable_read(ControllerAccess& controller, Duration timeout);

/// Returns why draining a store is currently unsafe, as far as this controller has observed. Returns nullopt for a safe
/// drain and for any other change.
std::optional<std::string> drain_hazard(const ControllerMachine& controller, const Transformation& change,
                                        TimePoint now);

/// Executes the steps of one operator's request, which share one deadline. Used only on the request's thread.
class ControlSession : public ClusterControl {
 public:
  /// The request's deadline is `kOperatorRequestTimeout` after `arrived_at`.
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
  /// Describes why a commit may have timed out: whose acknowledgements of this controller's latest epoch are missing.
  std::string describe_timeout();

  ControllerAccess& controller_;
  TimePoint deadline_{};
};

}  // namespace mosskeel
