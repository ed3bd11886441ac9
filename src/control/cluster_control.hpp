#pragma once
// What an operator can ask of the cluster, whatever the protocol in which the request came.
#include "metadata/metadata.hpp"

namespace mosskeel {

/// What became of a command.
struct CommandResult {
  enum class Code {
    /// Committed, and in force everywhere it has to be.
    done,
    /// Built on a revision that is not the current one.
    revision_mismatch,
    /// The command itself is wrong.
    invalid,
    /// Well formed, but it does not apply to the cluster's present state.
    rejected,
    /// What it names does not exist.
    not_found,
    /// Neither done nor rejected yet; the same command with the same commit id finds out.
    outcome_unknown,
  };
  Code code = Code::outcome_unknown;
  /// For the operator to read; empty where the command is done.
  std::string reason;
};

/// How far the retirement of a machine's store has come. `unconfirmed`: no majority of the core confirmed any state.
enum class RetirementState { unconfirmed, unknown_machine, serving, finished };

/// The commands and reads that one request of an operator may consist of. All calls for one request together end
/// within `kOperatorRequestTimeout`.
class ClusterControl {
 public:
  /// Why this controller takes no commands now.
  struct Unavailable {
    /// The HTTP address of a controller that takes them; empty where none is known.
    Address redirect_to;
    std::string reason;
  };

  virtual ~ClusterControl() = default;

  /// Nothing where this controller takes commands.
  virtual std::optional<Unavailable> unavailability() = 0;

  /// A linearizable read: the metadata as a majority of the core has confirmed it since the call; null where no
  /// majority answered in time.
  virtual MetadataSnapshot read_metadata() = 0;

  /// Waits until all that this controller knows is in force.
  virtual CommandResult wait_until_in_force() = 0;

  /// Replaces the configuration of revision `base` by this one, of revision `revision`. A repeated `commit_id` is
  /// never applied twice.
  virtual CommandResult apply_configuration(const std::string& commit_id, Revision base, Revision revision,
                                            const Configuration& configuration) = 0;

  /// Takes the traffic off a zone.
  virtual CommandResult evacuate(const std::string& zone) = 0;

  /// Takes an evacuated zone back into service.
  virtual CommandResult restore(const std::string& zone) = 0;

  /// Drains the store on this machine; rejected where too few replicas would remain.
  virtual CommandResult retire(const std::string& machine) = 0;

  virtual RetirementState retirement_state(const std::string& machine) = 0;
};

}  // namespace mosskeel
