#pragma once
// A controller's HTTP API for operators and platforms; docs/http.md describes it.
#include "control/command_language.hpp"
#include "control/control_protocol.hpp"
#include "control/host_controller_access.hpp"

namespace mosskeel {

/// Handles the requests to a controller's HTTP address: requests of the platform's protocol if one is configured, and
/// all others as requests of Mosskeel's own API. Thread-safe: each request is handled on its connection's thread.
class AdminApi {
 public:
  /// `commit_timeout` is how long a request of Mosskeel's own API waits for the outcome of its commit.
  /// `protocol` is null if no platform protocol is configured.
  AdminApi(Host& host, HostControllerAccess& controller, Duration commit_timeout, const ControlProtocol* protocol)
      : host_(host), controller_(controller), commit_timeout_(commit_timeout), protocol_(protocol) {}

  ApiResponse handle(const ApiRequest& request);

 private:
  std::optional<ApiResponse> handle_platform_request(const ApiRequest& request);
  ApiResponse handle_own_request(const ApiRequest& request);
  ApiResponse handle_command(const ApiRequest& request);
  ApiResponse put_configuration(const ApiRequest& request);
  ApiResponse put_replica(const ApiRequest& request, const std::string& name);
  ApiResponse list_gateways(const Metadata& metadata);
  ApiResponse metrics();
  ApiResponse readiness();

  /// Executes a command of the command language and returns the text of the response.
  std::string execute(const ApiRequest& request);
  std::string execute(const command_language::Command& command, const Metadata& metadata, const ApiRequest& request);

  /// Commits a change and responds with its outcome.
  ApiResponse commit_and_respond(const Transformation& change, const ApiRequest& request);
  /// Commits a change unless it is an unsafe drain. An unsafe drain is rejected once a majority has confirmed that
  /// it is not in effect already; without a majority the outcome is unknown.
  CommitReply commit_if_safe(const Transformation& change, const std::string& commit_id);
  /// Responds with metadata that a majority has confirmed since the request arrived.
  ApiResponse respond_with_metadata(const std::function<ApiResponse(const Metadata&)>& render);
  std::vector<Entry> recent_entries();
  bool removed_by_refounding();

  Host& host_;
  HostControllerAccess& controller_;
  const Duration commit_timeout_;
  const ControlProtocol* protocol_;
};

}  // namespace mosskeel
