#pragma once
// Which gateways are ready, as the platform's load balancer sees it.
#include "platform_stub/environment.hpp"

namespace mosskeel::platform_stub {

/// Polls the readiness of every gateway.
class GatewayMonitor {
 public:
  explicit GatewayMonitor(Environment& environment);
  bool all_ready() const;
  /// The address of a random gateway among those that are in use: one failed poll is passed over, and where all have
  /// failed all are used.
  Address choose_gateway();

 private:
  /// Polls one gateway, and goes on doing so.
  void poll(int index);

  Environment& environment_;
  /// Failed polls in a row, by gateway.
  std::vector<int> failed_polls_;
};

}  // namespace mosskeel::platform_stub
