#pragma once
// What a platform may order of the core, in the product's words, and how its way of asking plugs in.
#include "control/constants.hpp"
#include "metadata/metadata.hpp"
#include "net/http_server.hpp"

namespace mosskeel {

/// What became of a command. `outcome_unknown`: neither done nor refused yet; asking again under the same words finds
/// out.
struct CommandResult {
  enum class Code {
    done,
    revision_mismatch,
    invalid,
    rejected,
    not_found,
    outcome_unknown
  } code = Code::outcome_unknown;
  std::string reason;
};

/// `unconfirmed`: no majority of the core has confirmed any state.
enum class RetirementState { unconfirmed, unknown_machine, serving, finished };

/// All calls for one request together end within `kOperatorRequestTimeout`.
class ClusterControl {
 public:
  virtual ~ClusterControl() = default;
  /// Why this controller takes no orders now, or nothing; `redirect_to` is where a controller that does may be asked.
  struct Unavailable {
    Address redirect_to;
    std::string reason;
  };
  virtual std::optional<Unavailable> unavailability() = 0;
  /// The metadata, confirmed by a majority of the core as the newest; nothing where none answered.
  virtual View read_metadata() = 0;
  /// Done once everything that this controller knows is in force.
  virtual CommandResult wait_until_in_force() = 0;
  /// Applies a configuration under its own revision on top of `base`; a repeated `commit` is never applied twice.
  virtual CommandResult apply_configuration(const std::string& commit, Revision base, Revision own,
                                            const Configuration& m) = 0;
  virtual CommandResult evacuate(const std::string& zone) = 0;
  virtual CommandResult restore(const std::string& zone) = 0;
  /// Empties the store on this machine; refused where too few copies would remain.
  virtual CommandResult retire(const std::string& machine) = 0;
  virtual RetirementState retirement_state(const std::string& machine) = 0;
};

/// One page of a list of replicas; `next_page_token` is empty on the last.
struct ReplicaListPage {
  std::vector<Replica> replicas;
  std::string next_page_token;
};

/// A platform's way of ordering and of listing replicas: a plug-in that registers itself.
class ControlProtocol {
 public:
  virtual ~ControlProtocol() = default;
  virtual const char* name() const = 0;
  /// The answer to what the platform's operator asks, or nothing where it is no such ask.
  virtual std::optional<ApiResponse> answer(const ApiRequest& a, ClusterControl& c) const = 0;
  /// Path and query of the page that `next_page_token` of the page before names; empty for the first.
  virtual std::string replica_list_path(const std::string& next_page_token) const = 0;
  virtual Result<ReplicaListPage> parse_replica_list_page(const std::string& text) const = 0;
};

/// The registered one of that name, or nothing.
const ControlProtocol* find_control_protocol(const std::string& name);

/// A static object of this type puts one into the registry.
struct ControlProtocolRegistration {
  explicit ControlProtocolRegistration(const ControlProtocol* d);
};

}  // namespace mosskeel
