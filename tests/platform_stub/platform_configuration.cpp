#include "platform_stub/platform_configuration.hpp"

#include "platform_stub/listed_replica.hpp"

namespace mosskeel::platform_stub {

namespace {

using Json = nlohmann::json;

constexpr int kInvalidRevision = 6;
/// Longer than callers wait with a program's next turn.
constexpr double kRetentionSeconds = 600;
constexpr int kLaterRevision = 9;
/// Tokens that a model's prefix cache takes.
constexpr int kCacheTokens = 100000;
/// Places of routes in the first configuration.
constexpr size_t kSafeRoute = 0;
constexpr size_t kOldRoute = 2;

Json plain_route(const std::string& name, const std::string& kind, const std::string& service) {
  return {{"Name", "r-" + name}, {"Host", "ask.example"}, {"PathPrefix", "/" + name + "/"},
          {"RouteKind", kind},   {"TimeoutMs", 4000},     {"TargetLatencyMs", 1500},
          {"Priority", 1},       {"MaxAttempts", 3},      {"Service", service},
          {"Retained", false},   {"RetentionS", 60.0},    {"StickySessions", false},
          {"Resumable", false},  {"GapTargetMs", 0}};
}

Json streaming_route(const std::string& name) {
  auto route = plain_route(name, "streaming", "model");
  route["Retained"] = name == "turn";
  route["StickySessions"] = true;
  route["Resumable"] = name == "resume";
  route["GapTargetMs"] = 1000;
  route["RetentionS"] = kRetentionSeconds;
  return route;
}

/// For work of some seconds that is executed at most once.
Json slow_route() {
  auto route = plain_route("slow", "unsafe", "slow");
  route["TimeoutMs"] = kSlowRouteTimeout.count();
  return route;
}

Json service(const std::string& name) {
  return {{"Name", name},
          {"HealthPath", "/health"},
          {"MaxConnections", 100},
          {"Protocol", "h1"},
          {"TlsEnabled", false},
          {"ColdStartS", 5.0},
          {"ColdPerS", kColdRequestsPerSecond}};
}

}  // namespace

Json model_service(const std::string& name) {
  auto model = service(name);
  model["Runtime"] = {
      {"SlotCount", kReplicaCapacity}, {"CacheTokens", kCacheTokens}, {"TokensPerEvent", kTokensPerEvent}};
  return model;
}

Json route_for(const std::string& name, RequestKind kind, const std::string& service) {
  auto route = streaming_route(name);
  route["Service"] = service;
  route["Retained"] = kind == RequestKind::turn;
  route["Resumable"] = kind == RequestKind::resumable;
  if (kind == RequestKind::safe)
    route["RouteKind"] = "safe";
  if (kind == RequestKind::unsafe)
    route["RouteKind"] = "unsafe";
  return route;
}

Json first_configuration() {
  auto routes =
      Json::array({plain_route("safe", "safe", "app"), plain_route("unsafe", "unsafe", "app"),
                   plain_route("old", "safe", "app"), plain_route("rogue", "safe", "rogue"), streaming_route("stream"),
                   streaming_route("resume"), streaming_route("turn"), streaming_route("brief"), slow_route()});
  auto services =
      Json::array({service("app"), service("app2"), service("slow"), service("rogue"), model_service("model")});
  Json limits{
      {"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 4194304}, {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15000}};
  return {{"Revision", kFirstRevision}, {"Routes", routes}, {"Services", services}, {"Limits", limits}};
}

ConfigurationChange change_routes(const Json& configuration) {
  auto moved = plain_route("safe", "safe", "app2");
  auto added = plain_route("new", "safe", "app");
  ConfigurationChange change;
  change.patch["Revision"] = kChangedRevision;
  change.patch["Upsert"]["Routes"] = Json::array({moved, added});
  change.patch["Remove"]["Routes"] = Json::array({"r-old"});
  change.result = configuration;
  change.result["Revision"] = kChangedRevision;
  change.result["Routes"][kSafeRoute] = moved;
  change.result["Routes"].erase(kOldRoute);
  change.result["Routes"].push_back(added);
  return change;
}

Json unused_route(size_t number) {
  return plain_route("unused-" + std::to_string(number), "safe", "app");
}

Json invalid_configuration(const Json& configuration) {
  auto invalid = configuration;
  invalid["Revision"] = kInvalidRevision;
  invalid["Routes"][kSafeRoute]["Service"] = "nobody";
  return invalid;
}

Json later_configuration(const Json& configuration) {
  auto later = configuration;
  later["Revision"] = kLaterRevision;
  return later;
}

}  // namespace mosskeel::platform_stub
