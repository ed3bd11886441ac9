#include "platform_stub/gateway_monitor.hpp"

#include <algorithm>

namespace mosskeel::platform_stub {

namespace {

constexpr Duration kPollTimeout = 900ms;
constexpr Duration kPollInterval = 500ms;
/// Failed polls in a row that take a gateway out of use.
constexpr int kMaxFailedPolls = 2;

}  // namespace

// No gateway is ready before its first poll.
GatewayMonitor::GatewayMonitor(Environment& environment)
    : environment_(environment),
      failed_polls_(static_cast<size_t>(environment.addresses.size.gateways), kMaxFailedPolls) {
  for (int index = 0; index < environment.addresses.size.gateways; ++index)
    poll(index);
}

void GatewayMonitor::poll(int index) {
  UpstreamClient::Request request{environment_.addresses.readiness(index), "GET", "/v1/ready", {{"Host", "ready"}}, ""};
  environment_.send(std::move(request), kPollTimeout, [this, index](const HttpOutcome& outcome) {
    auto& failed_polls = failed_polls_[static_cast<size_t>(index)];
    failed_polls = outcome.status == 200 ? 0 : failed_polls + 1;
    environment_.loop.run_after(kPollInterval, [this, index] { poll(index); });
  });
}

bool GatewayMonitor::all_ready() const {
  return std::all_of(failed_polls_.begin(), failed_polls_.end(), [](int failed_polls) { return failed_polls == 0; });
}

Address GatewayMonitor::choose_gateway() {
  std::vector<int> all;
  std::vector<int> in_use;
  for (int index = 0; index < environment_.addresses.size.gateways; ++index) {
    all.push_back(index);
    if (failed_polls_[static_cast<size_t>(index)] < kMaxFailedPolls)
      in_use.push_back(index);
  }
  if (in_use.empty())
    in_use = all;
  return environment_.addresses.gateway(in_use[environment_.random_below(in_use.size())]);
}

}  // namespace mosskeel::platform_stub
