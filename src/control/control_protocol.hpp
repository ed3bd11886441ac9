#pragma once
// Plug-in interface for a platform's control protocol: operator commands and the replica list.
#include "control/cluster_control.hpp"
#include "net/http_server.hpp"

namespace mosskeel {

/// One page of a platform's replica list.
struct ReplicaListPage {
  std::vector<Replica> replicas;
  /// Token of the next page; empty on the last page.
  std::string next_page_token;
};

/// Translates between a platform's HTTP messages and Mosskeel's types. Implementations are stateless and are called
/// from several threads.
class ControlProtocol {
 public:
  virtual ~ControlProtocol() = default;

  /// The name that selects this protocol in the settings.
  virtual const char* name() const = 0;

  /// Executes an operator's request. Returns nullopt if the request does not belong to this protocol.
  virtual std::optional<ApiResponse> answer(const ApiRequest& request, ClusterControl& control) const = 0;

  /// Returns the path and query of a page of the replica list. An empty token requests the first page.
  virtual std::string replica_list_path(const std::string& page_token) const = 0;

  /// Parses a page. Returns errors if any part of it is invalid.
  virtual Result<ReplicaListPage> parse_replica_list_page(const std::string& text) const = 0;
};

/// Returns the registered protocol with this name, or nullptr.
const ControlProtocol* find_control_protocol(const std::string& name);

/// Registers a protocol; define a static object of this type. The protocol must live as long as the process.
struct ControlProtocolRegistration {
  explicit ControlProtocolRegistration(const ControlProtocol* protocol);
};

}  // namespace mosskeel
