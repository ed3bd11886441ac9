#pragma once
// Operator commands and reads of the cluster, independent of the protocol of the request.
#include "metadata/metadata.hpp"

namespace mosskeel {

/// The result of a command.
struct CommandResult {
  enum class Code {
    /// Committed and in force on all daemons that must apply it.
    done,
    /// The command is based on a revision that is not the current one.
    revision_mismatch,
    /// The command is invalid regardless of the cluster's state.
    invalid,
    /// The command is valid but not applicable in the cluster's current state.
    rejected,
    /// The target of the command does not exist.
    not_found,
    /// The outcome is not known yet; repeating the command with the same commit id determines it.
    outcome_unknown,
  };
  Code code = Code::outcome_unknown;
  /// Explanation for the operator; empty if the command is done.
  std::string reason;
};

/// Progress of the retirement of a machine's store. `unconfirmed` means that no majority of the core confirmed a state.
enum class RetirementState { unconfirmed, unknown_machine, serving, finished };

/// The commands and reads available to one operator request. All calls for one request together take at most
/// `kOperatorRequestTimeout`.
class ClusterControl {
 public:
  /// Why this controller currently accepts no commands.
  struct Unavailable {
    /// The HTTP address of a controller that accepts them; empty if none is known.
    Address redirect_to;
    std::string reason;
  };

  virtual ~ClusterControl() = default;

  /// Returns nullopt if this controller accepts commands.
  virtual std::optional<Unavailable> unavailability() = 0;

  /// Performs a linearizable read: returns metadata that a majority of the core has confirmed after the call, or null
  /// if no majority answered in time.
  virtual MetadataSnapshot read_metadata() = 0;

  /// Waits until the latest epoch known to this controller is in force.
  virtual CommandResult wait_until_in_force() = 0;

  /// Replaces the configuration of revision `base` by this one, which gets revision `revision`. Commands with the same
  /// `commit_id` are applied at most once.
  virtual CommandResult apply_configuration(const std::string& commit_id, Revision base, Revision revision,
                                            const Configuration& configuration) = 0;

  /// Moves traffic away from a zone.
  virtual CommandResult evacuate(const std::string& zone) = 0;

  /// Returns an evacuated zone to service.
  virtual CommandResult restore(const std::string& zone) = 0;

  /// Drains the store on this machine. Rejected if too few copies of histories would remain.
  virtual CommandResult retire(const std::string& machine) = 0;

  virtual RetirementState retirement_state(const std::string& machine) = 0;
};

}  // namespace mosskeel
