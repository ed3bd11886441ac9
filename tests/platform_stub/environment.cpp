#include "platform_stub/environment.hpp"

namespace mosskeel::platform_stub {

namespace {

constexpr Duration kMinTimeout = 1ms;
/// More of a body is read and not kept, for some replicas send bodies without end.
constexpr size_t kMaxKeptBodyBytes = 32u << 20;

}  // namespace

Environment::Environment(const FleetAddresses& fleet_addresses, bool calm, uint64_t seed)
    : addresses(fleet_addresses), is_calm(calm), random_(seed), client_(loop, client_callbacks()) {
  may_lose_response = [calm](const Address&, MonotonicTime) {
    return !calm;
  };
}

UpstreamClient::Callbacks Environment::client_callbacks() {
  UpstreamClient::Callbacks callbacks;
  callbacks.on_head = [this](uint64_t request, UpstreamClient::ResponseHead&& head) {
    auto& outcome = exchanges_.at(request).outcome;
    outcome.status = head.status;
    outcome.fields = std::move(head.fields);
  };
  callbacks.on_body = [this](uint64_t request, std::string_view bytes) {
    auto& body = exchanges_.at(request).outcome.body;
    if (body.size() < kMaxKeptBodyBytes)
      body += bytes;
  };
  callbacks.on_complete = [this](uint64_t request) {
    finish(request, true, false);
  };
  callbacks.on_failure = [this](uint64_t request, UpstreamClient::Delivery delivery, const std::string&) {
    finish(request, false, delivery == UpstreamClient::Delivery::not_sent);
  };
  return callbacks;
}

void Environment::send(UpstreamClient::Request request, Duration timeout, OnOutcome on_outcome, ConnectionUse use) {
  request.new_connection = use == ConnectionUse::fresh;
  auto id = client_.send_request(std::move(request));
  auto timer = loop.run_after(std::max(kMinTimeout, timeout), [this, id] {
    client_.cancel(id);
    finish(id, false, false);
  });
  exchanges_[id] = {{}, std::move(on_outcome), timer};
}

void Environment::repeat(Duration interval, MonotonicTime end, const std::function<void()>& function) {
  if (monotonic_now() > end)
    return;
  function();
  auto jitter = Duration(random_below(static_cast<uint64_t>(interval.count())));
  loop.run_after(interval / 2 + jitter, [this, interval, end, function] { repeat(interval, end, function); });
}

void Environment::finish(uint64_t request, bool is_complete, bool was_not_sent) {
  auto found = exchanges_.find(request);
  if (found == exchanges_.end())
    return;
  auto exchange = std::move(found->second);
  exchanges_.erase(found);
  loop.cancel(exchange.timer);
  exchange.outcome.is_complete = is_complete;
  exchange.outcome.was_not_sent = was_not_sent;
  exchange.on_outcome(std::move(exchange.outcome));
}

}  // namespace mosskeel::platform_stub
