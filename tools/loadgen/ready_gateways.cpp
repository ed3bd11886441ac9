#include "ready_gateways.hpp"

#include <nlohmann/json.hpp>

#include "clock.hpp"
#include "net/http_fetch.hpp"

namespace mosskeel::loadgen {
namespace {

constexpr Duration kRefreshInterval = 250ms;
constexpr Duration kRequestTimeout = 1000ms;

}  // namespace

ReadyGateways::ReadyGateways(const std::vector<Address>& controllers) : controllers_(controllers) {
  refresh();
  thread_ = std::thread([this] {
    while (!stop_) {
      sleep_for(kRefreshInterval);
      refresh();
    }
  });
}

ReadyGateways::~ReadyGateways() {
  stop_ = true;
  thread_.join();
}

/// Takes the list of the first controller that answers with one.
void ReadyGateways::refresh() {
  for (const auto& controller : controllers_) {
    FetchRequest request;
    request.url = "http://" + controller + "/v1/fronts";
    request.timeout = kRequestTimeout;
    auto answer = nlohmann::json::parse(http_fetch(request).body, nullptr, false);
    if (!answer.is_object() || !answer.contains("fronts"))
      continue;
    std::vector<Address> ready;
    for (const auto& gateway : answer["fronts"]) {
      if (gateway["ready"] == true)
        ready.push_back(gateway["http"]);
    }
    std::lock_guard lock(mutex_);
    ready_ = std::move(ready);
    return;
  }
}

Address ReadyGateways::any() {
  std::lock_guard lock(mutex_);
  if (ready_.empty())
    return "";
  return ready_[random_number() % ready_.size()];
}

}  // namespace mosskeel::loadgen
