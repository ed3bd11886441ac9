#pragma once
// The gateways that the controllers call ready.
#include <atomic>
#include <mutex>
#include <thread>

#include "mosskeel/common.hpp"

namespace mosskeel::loadgen {

/// Keeps the list up to date on a thread of its own. Any thread may ask.
class ReadyGateways {
 public:
  /// HTTP addresses of controllers.
  explicit ReadyGateways(const std::vector<Address>& controllers);
  ~ReadyGateways();
  /// The HTTP address of a random one; empty if none is ready.
  Address any();

 private:
  void refresh();

  std::vector<Address> controllers_;
  std::mutex mutex_;
  std::vector<Address> ready_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

}  // namespace mosskeel::loadgen
