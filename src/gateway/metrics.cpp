// The counters of a gateway in the text form of metrics.
#include "kernel/daemon.hpp"
#include "gateway/callers.hpp"

namespace mosskeel {

HttpAnswer Callers::metrics() {
  std::map<std::string, double> more;
  host_.ask([&](Machine& m, Millis now) {
    auto& s = static_cast<GatewayMachine&>(m);
    for (auto& [n, v] : s.metrics()) more[n] = static_cast<double>(v);
    more["requests_here"] = static_cast<double>(s.requests());
    more["ready"] = s.ready(now);
  });
  HttpAnswer r;
  r.body = metrics_of(host_, "gateway", more);
  r.headers["Content-Type"] = "text/plain";
  return r;
}

}  // namespace mosskeel
