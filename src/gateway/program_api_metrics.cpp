// The counters of a gateway in the text form of metrics.
#include "gateway/program_api.hpp"
#include "runtime/daemon.hpp"

namespace mosskeel {

ApiResponse Callers::metrics() {
  std::map<std::string, double> more;
  host_.ask([&](Machine& m, Millis now) {
    auto& s = static_cast<GatewayMachine&>(m);
    for (auto& [n, v] : s.metrics())
      more[n] = static_cast<double>(v);
    more["requests_active"] = static_cast<double>(s.active_requests());
    more["ready"] = s.ready(now);
  });
  ApiResponse r;
  r.body = metrics_of(host_, "gateway", more);
  r.headers["Content-Type"] = "text/plain";
  return r;
}

}  // namespace mosskeel
