#include "control/admin_api.hpp"

#include "base/json.hpp"
#include "control/admin_json.hpp"
#include "control/constants.hpp"
#include "runtime/constants.hpp"
#include "runtime/daemon.hpp"

namespace mosskeel {
namespace {

constexpr std::string_view kReplicasPrefix = "/v1/replicas/";

/// Maximum number of bytes of a command that are logged.
constexpr size_t kMaxLoggedCommandBytes = 200;

ApiResponse invalid_request(const Errors& errors) {
  return ApiResponse::error(400, "invalid", errors);
}

/// Returns the commit id chosen by the client, which makes its retries idempotent, or a new id.
std::string commit_id_of(const ApiRequest& request, ControllerAccess& controller) {
  auto header = request.headers.find("idempotency-key");
  if (header != request.headers.end() && !header->second.empty())
    return header->second;
  return controller.new_commit_id("op");
}

std::optional<Revision> base_revision_of(const ApiRequest& request) {
  auto parameter = request.query.find("revision");
  if (parameter == request.query.end())
    return std::nullopt;
  const auto& text = parameter->second;
  if (text.empty() || text.size() > kMaxDecimalDigits)
    return std::nullopt;
  if (text.find_first_not_of("0123456789") != std::string::npos)
    return std::nullopt;
  return Revision{std::stoull(text)};
}

}  // namespace

ApiResponse AdminApi::handle(const ApiRequest& request) {
  if (auto response = handle_platform_request(request))
    return *response;
  return handle_own_request(request);
}

std::optional<ApiResponse> AdminApi::handle_platform_request(const ApiRequest& request) {
  if (!protocol_)
    return std::nullopt;
  ControlSession session(controller_, controller_.now());
  auto response = protocol_->answer(request, session);
  if (response)
    log_event(Event::platform_request, request.method + " " + request.path + ": " + std::to_string(response->status));
  return response;
}

ApiResponse AdminApi::handle_own_request(const ApiRequest& request) {
  if (removed_by_refounding())
    return ApiResponse::error(503, "earlier_generation",
                              "the core was founded anew without this controller; empty its folder");
  const auto& path = request.path;
  bool is_get = request.method == "GET";
  bool is_put = request.method == "PUT";
  if (path == "/v1/say" && request.method == "POST")
    return handle_command(request);
  if (path == "/v1/cluster/configuration" && is_get)
    return respond_with_metadata(show_configuration);
  if (path == "/v1/cluster/configuration" && is_put)
    return put_configuration(request);
  if (path == "/v1/replicas" && is_get)
    return respond_with_metadata(list_replicas);
  if (path.starts_with(kReplicasPrefix)) {
    auto name = path.substr(kReplicasPrefix.size());
    if (is_put)
      return put_replica(request, name);
    if (request.method == "DELETE")
      return commit_and_respond(RemoveReplica{name}, request);
  }
  if (path == "/v1/fronts" && is_get)
    return respond_with_metadata([this](const Metadata& metadata) { return list_gateways(metadata); });
  if (path == "/metrics")
    return metrics();
  if (path == "/ready")
    return readiness();
  return ApiResponse::error(404, "unknown_path", request.method + " " + path + " is nothing here");
}

ApiResponse AdminApi::handle_command(const ApiRequest& request) {
  auto answer = execute(request);
  auto first_line = answer.substr(0, answer.find('\n'));
  log_event(Event::operator_command, "'" + request.body.substr(0, kMaxLoggedCommandBytes) + "': " + first_line);
  return text_response(answer);
}

std::string AdminApi::execute(const ApiRequest& request) {
  auto parsed = command_language::parse(request.body);
  if (!parsed.ok())
    return "no: " + to_string(parsed.errors());
  const auto& command = parsed.value();
  // A core that has to be refounded has no majority that could confirm a read.
  if (const auto* rebuild = std::get_if<command_language::RebuildCore>(&command))
    return describe_outcome(controller_.refound(rebuild->lost));
  auto view = linearizable_read(controller_, kOperatorRequestTimeout);
  if (!view)
    return describe_outcome(
        CommitReply{commit_id_of(request, controller_), CommitOutcome::unknown, kNoMajorityReason, {}, {}, {}});
  return execute(command, *view, request);
}

std::string AdminApi::execute(const command_language::Command& command, const Metadata& metadata,
                              const ApiRequest& request) {
  if (const auto* query = std::get_if<command_language::ShowQuery>(&command))
    return command_language::show(*query, metadata);
  if (const auto* query = std::get_if<command_language::ExplainQuery>(&command))
    return command_language::explain(*query, metadata, recent_entries());
  auto change = command_language::to_transformation(command, metadata);
  if (!change.ok())
    return "no: " + to_string(change.errors());
  return describe_outcome(commit_if_safe(change.value(), commit_id_of(request, controller_)));
}

ApiResponse AdminApi::put_configuration(const ApiRequest& request) {
  auto base = base_revision_of(request);
  if (!base)
    return invalid_request(Errors{{"revision", "the revision that this configuration is built on is missing"}});
  auto configuration = json::parse<Configuration>(request.body);
  if (!configuration.ok())
    return invalid_request(configuration.errors());
  auto errors = validate(configuration.value());
  if (!errors.empty())
    return invalid_request(errors);
  return commit_and_respond(ApplyConfiguration{*base, configuration.value(), {}}, request);
}

ApiResponse AdminApi::put_replica(const ApiRequest& request, const std::string& name) {
  auto replica = parse_replica(name, request.body);
  if (!replica.ok())
    return invalid_request(replica.errors());
  return commit_and_respond(SetReplica{replica.value()}, request);
}

ApiResponse AdminApi::list_gateways(const Metadata& metadata) {
  auto gateways = json::Json::array();
  controller_.inspect([&](ControllerMachine& machine, TimePoint now) {
    for (const auto& [id, daemon] : metadata.directory) {
      if (daemon.self.role != Role::gateway || daemon.state == DaemonState::left)
        continue;
      gateways.push_back(
          gateway_json(daemon, metadata, machine.failure_detector().status_of(daemon.self.incarnation), now));
    }
  });
  return json_response({{"epoch", metadata.epoch.value()}, {"fronts", gateways}});
}

ApiResponse AdminApi::metrics() {
  bool holds_lease = false;
  controller_.inspect([&](ControllerMachine& machine, TimePoint now) { holds_lease = machine.is_supervisor(now); });
  auto view = host_.view();
  return text_response(metrics_of(host_, "controller",
                                  {{"supervisor_lease_held", holds_lease ? 1.0 : 0.0},
                                   {"sequences", static_cast<double>(view->sequences.size())},
                                   {"daemons", static_cast<double>(view->directory.size())}}));
}

ApiResponse AdminApi::readiness() {
  auto view = host_.view();
  if (!view->cluster)
    return ApiResponse::error(503, "not_ready", "the cluster is not founded yet", kDefaultRetryAfter);
  return json_response({{"ready", true}, {"epoch", view->epoch.value()}});
}

ApiResponse AdminApi::commit_and_respond(const Transformation& change, const ApiRequest& request) {
  auto reply = commit_if_safe(change, commit_id_of(request, controller_));
  auto response = commit_response(reply, host_.view()->revision);
  log_event(Event::platform_request, describe(change) + ": " + describe_outcome(reply));
  return response;
}

CommitReply AdminApi::commit_if_safe(const Transformation& change, const std::string& commit_id) {
  std::optional<std::string> hazard;
  controller_.inspect([&](ControllerMachine& machine, TimePoint now) { hazard = drain_hazard(machine, change, now); });
  if (!hazard)
    return controller_.commit(change, commit_id, commit_timeout_);
  auto view = linearizable_read(controller_, kOperatorRequestTimeout);
  if (!view)
    return {commit_id, CommitOutcome::unknown, kNoMajorityReason, host_.view()->epoch, {}, {}};
  return {commit_id, CommitOutcome::rejected, *hazard, view->epoch, {}, {}, Rejection::busy};
}

ApiResponse AdminApi::respond_with_metadata(const std::function<ApiResponse(const Metadata&)>& render) {
  auto view = linearizable_read(controller_, kOperatorRequestTimeout);
  if (!view)
    return ApiResponse::error(503, "unclear", kNoMajorityReason, kDefaultRetryAfter);
  return render(*view);
}

std::vector<Entry> AdminApi::recent_entries() {
  std::vector<Entry> entries;
  controller_.inspect([&](ControllerMachine& machine, TimePoint) {
    entries.assign(machine.recent_entries().begin(), machine.recent_entries().end());
  });
  return entries;
}

bool AdminApi::removed_by_refounding() {
  bool removed = false;
  controller_.inspect([&](ControllerMachine& machine, TimePoint) { removed = machine.removed_by_refounding(); });
  return removed;
}

}  // namespace mosskeel
