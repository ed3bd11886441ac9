#include "platform_stub/replica.hpp"

#include <cstdio>
#include <cstdlib>

namespace mosskeel::platform_stub {

namespace {

/// Short, so that daemons meet connections that a replica has closed.
constexpr Duration kIdleTimeout = 2000ms;
constexpr Duration kLoadWindow = 1000ms;
/// A cold replica bears more than it is configured for, by a factor and a burst.
constexpr double kColdLoadFactor = 1.5;
constexpr double kColdLoadBurst = 5;

}  // namespace

std::unique_ptr<HttpListener> listen_or_exit(EventLoop& loop, const Address& address,
                                             HttpListener::Callbacks callbacks) {
  auto opened = HttpListener::open(loop, address, std::move(callbacks));
  if (opened.ok())
    return std::move(opened).value();
  fprintf(stderr, "standin: %s: %s\n", address.c_str(), to_string(opened.errors()).c_str());
  exit(2);
}

Replica::Replica(Environment& environment, ListedReplica listed_replica)
    : listed(std::move(listed_replica)), environment_(environment) {
  HttpListener::Callbacks callbacks;
  callbacks.on_request = [this](uint64_t exchange, HttpRequest&& request) {
    on_request(exchange, std::move(request));
  };
  callbacks.on_disconnected = [this](uint64_t exchange) {
    on_disconnected(exchange);
  };
  callbacks.on_drained = [](uint64_t) {
  };
  listener_ = listen_or_exit(environment.loop, listed.address, std::move(callbacks));
  HttpListenerLimits limits;
  limits.idle_timeout = kIdleTimeout;
  listener_->set_limits(limits);
}

std::optional<std::string> Replica::admit(uint64_t exchange, const HttpRequest& request) {
  if (request.method == "GET" && request.target == "/health") {
    listener_->send_response(exchange, listed.draining_since ? 503 : 200, {{"Mosskeel-Replica-Id", listed.id}}, "");
    return std::nullopt;
  }
  std::string attempt(header_value(request.fields, "Mosskeel-Attempt-Id"));
  if (attempt.empty()) {
    send_not_executed(exchange, 400, "");
    return std::nullopt;
  }
  auto target = header_value(request.fields, "Mosskeel-Target-Replica");
  if (!target.empty() && target != listed.id) {
    send_not_executed(exchange, 421, attempt);
    return std::nullopt;
  }
  check_may_be_asked(attempt);
  if (!bears_load()) {
    listener_->abort(exchange);
    return std::nullopt;
  }
  return attempt;
}

void Replica::check_may_be_asked(const std::string& attempt) {
  auto now = monotonic_now();
  auto gone_from = listed.gone_from();
  const auto* sent = environment_.checker.find_sent(attempt);
  if (gone_from && now > *gone_from && sent && sent->sent_at > *gone_from)
    environment_.checker.report_violation(listed.id + " was asked long after it was listed as draining");
  if (evacuated_from && now > *evacuated_from)
    environment_.checker.report_violation(listed.id + " was asked in an evacuated zone");
}

bool Replica::bears_load() {
  auto now = monotonic_now();
  if (now >= listed.cold_until)
    return true;
  cold_requests_.push_back(now);
  while (now - cold_requests_.front() >= kLoadWindow)
    cold_requests_.pop_front();
  constexpr double max_requests = kColdRequestsPerSecond * kColdLoadFactor + kColdLoadBurst;
  if (static_cast<double>(cold_requests_.size()) <= max_requests)
    return true;
  if (!std::exchange(is_overloaded_, true))
    environment_.checker.report_violation(listed.id + " broke down: more requests than it bears while cold");
  return false;
}

void Replica::send_not_executed(uint64_t exchange, uint32_t status, const std::string& attempt) {
  listener_->send_response(exchange, status, {{"Mosskeel-Attempt-Id", attempt}, {"Mosskeel-Not-Run", "1"}}, "");
}

HeaderFields Replica::response_fields(const std::string& attempt, const std::string& seal) const {
  return {{"Mosskeel-Attempt-Id", attempt}, {"Mosskeel-Server-Seal", seal}, {"Mosskeel-Weight-Versions", "1"}};
}

}  // namespace mosskeel::platform_stub
