#pragma once
// The plug-in interface for a platform's way of giving commands and of listing replicas.
#include "control/cluster_control.hpp"
#include "net/http_server.hpp"

namespace mosskeel {

/// One page of a platform's list of replicas.
struct ReplicaListPage {
  std::vector<Replica> replicas;
  /// Names the next page; empty on the last.
  std::string next_page_token;
};

/// Translates between a platform's HTTP and the product's types. Implementations have no state, and are called from
/// several threads.
class ControlProtocol {
 public:
  virtual ~ControlProtocol() = default;

  /// The name by which the settings choose it.
  virtual const char* name() const = 0;

  /// Carries out an operator's request; nothing where the request is none of this protocol's.
  virtual std::optional<ApiResponse> answer(const ApiRequest& request, ClusterControl& control) const = 0;

  /// Path and query of a page of the replica list; an empty token asks for the first page.
  virtual std::string replica_list_path(const std::string& page_token) const = 0;

  /// Errors where any part of the page cannot be read.
  virtual Result<ReplicaListPage> parse_replica_list_page(const std::string& text) const = 0;
};

/// The registered protocol of that name, or null.
const ControlProtocol* find_control_protocol(const std::string& name);

/// A static object of this type registers a protocol, which has to live as long as the process.
struct ControlProtocolRegistration {
  explicit ControlProtocolRegistration(const ControlProtocol* protocol);
};

}  // namespace mosskeel
