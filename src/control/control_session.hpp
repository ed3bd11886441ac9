#pragma once
// One operator's request on one controller: every step of it shares one deadline.
#include "consensus/controller_machine.hpp"
#include "control/cluster_control.hpp"
#include "control/constants.hpp"

namespace mosskeel {

/// What a request needs of the controller that it reached.
class ControllerAccess {
 public:
  virtual ~ControllerAccess() = default;
  /// Commits under this id until there is an outcome or the patience is over.
  virtual CommitReply commit(const Transformation& t, const std::string& id, Millis patience) = 0;
  /// Runs in the machine's own thread.
  virtual void inspect(const std::function<void(ControllerMachine&, Millis)>& look) = 0;
  virtual Millis now() = 0;
  virtual void pause(Millis ms) = 0;
  virtual bool stopped() = 0;
};

/// The metadata, at least as new as what a majority of the core confirmed since the call; nothing where none did.
View linearizable_read(ControllerAccess& controller, Millis patience);

/// Why an order is not safe by what this controller has observed, or nothing.
std::string drain_hazard(ControllerMachine& m, const Transformation& t, Millis now);

class ControlSession : public ClusterControl {
 public:
  /// A request that came at `arrived` has its answer within `kOperatorRequestTimeout` of that.
  ControlSession(ControllerAccess& controller, Millis arrived);
  std::optional<Unavailable> unavailability() override;
  View read_metadata() override;
  CommandResult wait_until_in_force() override;
  CommandResult apply_configuration(const std::string& commit, Revision base, Revision own,
                                    const Configuration& m) override;
  CommandResult evacuate(const std::string& zone) override;
  CommandResult restore(const std::string& zone) override;
  CommandResult retire(const std::string& machine) override;
  RetirementState retirement_state(const std::string& machine) override;

 private:
  Millis left();
  CommandResult order(const Transformation& t, const std::string& id);
  CommandResult in_force(Epoch at);
  ControllerAccess& controller_;
  Millis until_;
};

}  // namespace mosskeel
