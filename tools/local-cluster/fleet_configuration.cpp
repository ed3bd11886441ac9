// Tells the controllers of a fleet about its replicas, and gives it its first configuration.
#include <nlohmann/json.hpp>
#include <thread>

#include "fleet.hpp"
#include "net/http_fetch.hpp"
#include "runtime/host.hpp"

namespace mosskeel::local_cluster {
namespace {

using Json = nlohmann::json;

/// Configuring a fleet that takes longer to found itself has failed.
constexpr Duration kConfigureTimeout = 60000ms;
constexpr Duration kConfigureRetryDelay = 100ms;
constexpr const char* kTenant = "news";

/// Whether the answer says that what the request wants is in effect, now or since an earlier attempt.
bool is_in_effect(const FetchResponse& response) {
  if (response.status == 200)
    return true;
  if (response.status != 409)
    return false;
  return response.body.find("is so already") != std::string::npos ||
         response.body.find("built on") != std::string::npos;
}

/// Sends a PUT to one controller after the other until one has taken it.
Errors put(const std::vector<Address>& controllers, const std::string& path, const Json& body) {
  auto deadline = process_now() + kConfigureTimeout;
  std::string reason;
  while (process_now() < deadline) {
    for (const auto& controller : controllers) {
      FetchRequest request;
      request.method = "PUT";
      request.url = "http://" + controller + path;
      request.body = body.dump();
      request.headers["Idempotency-Key"] = "local-cluster-" + hex(digest(path + request.body));
      auto response = http_fetch(request);
      if (is_in_effect(response))
        return {};
      reason = response.error.empty() ? response.body : response.error;
      std::this_thread::sleep_for(kConfigureRetryDelay);
    }
  }
  return {{path, "was not accepted: " + reason}};
}

/// One tenant with a model and an application; its name is the default of the load generator's `--cell`.
Json first_configuration() {
  auto routes = Json::array({{{"name", "chat"}, {"kind", "model"}}, {{"name", "app"}, {"kind", "app"}}});
  Json cell{{"name", kTenant}, {"budget", 400}, {"turn_limit", 40}, {"retention_ms", 3600000}, {"routes", routes}};
  return {{"cells", Json::array({cell})}};
}

}  // namespace

Errors Fleet::configure() {
  auto controller_addresses = controllers();
  for (const auto& process : list()) {
    if (process.program != "replica-sim")
      continue;
    Json replica{{"kind", process.name.starts_with("app") ? "app" : "model"},
                 {"zone", process.zone},
                 {"url", "http://" + process.http_address},
                 {"health", "ready"}};
    if (auto errors = put(controller_addresses, "/v1/replicas/" + process.name, replica); !errors.empty())
      return errors;
  }
  return put(controller_addresses, "/v1/cluster/configuration?revision=0", first_configuration());
}

}  // namespace mosskeel::local_cluster
