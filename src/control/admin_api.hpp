#pragma once
// The HTTP API of a controller for operators and platforms; docs/http.md describes it.
#include "control/command_language.hpp"
#include "control/control_protocol.hpp"
#include "control/host_controller_access.hpp"

namespace mosskeel {

/// Answers the requests that reach a controller's HTTP address: first those of a platform's protocol, then those of
/// the product's own interface. Thread-safe: each request is handled on its connection's thread.
class AdminApi {
 public:
  /// `commit_timeout` is how long a request of the product's own interface waits for its commit's outcome.
  /// `protocol` is null where no platform's requests are taken.
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

  /// Executes a command of the operators' language and returns the text of the response.
  std::string execute(const ApiRequest& request);
  std::string execute(const command_language::Command& command, const Metadata& metadata, const ApiRequest& request);

  /// Commits a change and answers with its outcome.
  ApiResponse commit_and_respond(const Transformation& change, const ApiRequest& request);
  /// Commits a change unless it is an unsafe drain; that is rejected once a majority has confirmed that it is not done
  /// already.
  CommitReply commit_if_safe(const Transformation& change, const std::string& commit_id);
  /// Answers from metadata that a majority has confirmed since the request came.
  ApiResponse respond_with_metadata(const std::function<ApiResponse(const Metadata&)>& render);
  std::vector<Entry> recent_entries();
  bool removed_by_refounding();

  Host& host_;
  HostControllerAccess& controller_;
  const Duration commit_timeout_;
  const ControlProtocol* protocol_;
};

}  // namespace mosskeel
