#include "platform_stub/replica_list_server.hpp"

#include <nlohmann/json.hpp>

#include "platform_stub/replica.hpp"

namespace mosskeel::platform_stub {

namespace {

constexpr size_t kPageSize = 3;
/// As the settings of the fleet say.
constexpr size_t kMaxRequestsPerSecond = 40;
constexpr Duration kRateWindow = 1000ms;
constexpr Duration kSnapshotInterval = 100ms;
constexpr std::string_view kPageTokenParameter = "PageToken=";
constexpr std::string_view kPageTokenPrefix = "p-";

size_t first_of_page(const std::string& target) {
  auto parameter = std::string(kPageTokenParameter) + std::string(kPageTokenPrefix);
  auto found = target.find(parameter);
  return found == std::string::npos ? 0 : std::stoul(target.substr(found + parameter.size()));
}

nlohmann::json entry(const ListedReplica& replica, MonotonicTime now) {
  auto cold_left = std::max(Duration::zero(), replica.cold_until - now);
  return {{"Id", replica.id},
          {"Service", replica.service},
          {"Address", replica.address},
          {"Zone", replica.zone},
          {"Revision", "v1"},
          {"SlotCount", replica.slots},
          {"State", replica.draining_since ? "draining" : "ready"},
          {"ColdLeftMs", cold_left.count()}};
}

}  // namespace

ReplicaListServer::ReplicaListServer(Environment& environment, ListReplicas list_replicas)
    : environment_(environment), list_replicas_(std::move(list_replicas)) {
  HttpListener::Callbacks callbacks;
  callbacks.on_request = [this](uint64_t exchange, HttpRequest&& request) {
    respond(exchange, request);
  };
  callbacks.on_disconnected = [](uint64_t) {
  };
  callbacks.on_drained = [](uint64_t) {
  };
  listener_ = listen_or_exit(environment.loop, environment.addresses.replica_list(), std::move(callbacks));
  take_snapshot();
}

void ReplicaListServer::take_snapshot() {
  auto now = monotonic_now();
  snapshots_.push_back({now, list_replicas_()});
  while (snapshots_.size() > 1 && snapshots_[1].taken_at <= now - kListLag)
    snapshots_.pop_front();
  environment_.loop.run_after(kSnapshotInterval, [this] { take_snapshot(); });
}

void ReplicaListServer::respond(uint64_t exchange, const HttpRequest& request) {
  auto now = monotonic_now();
  if (!admit(now)) {
    listener_->send_response(exchange, 429, {{"Retry-After", "0.2"}}, "");
    return;
  }
  if (request.method != "GET" || !request.target.starts_with("/replicas")) {
    listener_->send_response(exchange, 404, {}, "");
    return;
  }
  auto body = page(first_of_page(request.target), now);
  listener_->send_response(exchange, 200, {{"Content-Type", "application/json"}}, body);
}

bool ReplicaListServer::admit(MonotonicTime now) {
  while (!requests_.empty() && now - requests_.front() >= kRateWindow)
    requests_.pop_front();
  if (requests_.size() >= kMaxRequestsPerSecond)
    return false;
  requests_.push_back(now);
  return true;
}

std::string ReplicaListServer::page(size_t first, MonotonicTime now) const {
  const auto& replicas = snapshots_.front().replicas;
  auto end = std::min(replicas.size(), first + kPageSize);
  auto entries = nlohmann::json::array();
  for (size_t i = first; i < end; ++i)
    entries.push_back(entry(replicas[i], now));
  nlohmann::json next_token;
  if (first + kPageSize < replicas.size())
    next_token = std::string(kPageTokenPrefix) + std::to_string(first + kPageSize);
  return nlohmann::json{{"Replicas", entries}, {"NextToken", next_token}}.dump();
}

}  // namespace mosskeel::platform_stub
