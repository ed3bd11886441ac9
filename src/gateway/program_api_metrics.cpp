// The metrics endpoint of a gateway.
#include "gateway/program_api.hpp"
#include "runtime/daemon.hpp"

namespace mosskeel {

ApiResponse ProgramApi::answer_metrics() {
  std::map<std::string, double> values;
  host_.ask([&](StateMachine& machine, TimePoint now) {
    auto& gateway = static_cast<GatewayMachine&>(machine);
    for (const auto& [name, value] : gateway.metrics())
      values[name] = static_cast<double>(value);
    values["requests_active"] = static_cast<double>(gateway.active_requests());
    values["ready"] = gateway.ready(now);
  });
  ApiResponse response;
  response.body = metrics_of(host_, "gateway", values);
  response.headers["Content-Type"] = "text/plain";
  return response;
}

}  // namespace mosskeel
