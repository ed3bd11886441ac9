#include "control/admin_json.hpp"

#include "control/constants.hpp"
#include "metadata/constants.hpp"
#include "replication/constants.hpp"

namespace mosskeel {

using json::Json;

namespace {

/// Reads a required string of a replica's JSON. Returns an empty string and adds an error if it is missing or not a
/// string.
std::string required_text(const Json& object, const char* key, Errors& errors) {
  if (object.contains(key) && object[key].is_string())
    return object[key];
  errors.push_back({key, "is missing or no string"});
  return "";
}

uint32_t capacity_of(const Json& object, Errors& errors) {
  if (!object.contains("places"))
    return kDefaultReplicaCapacity;
  const auto& places = object["places"];
  if (places.is_number_unsigned() && places >= 1 && places <= kMaxReplicaCapacity)
    return places;
  errors.push_back({"places", "must be a whole number from 1 to " + std::to_string(kMaxReplicaCapacity)});
  return kDefaultReplicaCapacity;
}

ReplicaHealth health_of(const Json& object, Errors& errors) {
  auto health = object.contains("health") ? required_text(object, "health", errors) : "cold";
  if (health == "cold")
    return ReplicaHealth::warming_up;
  if (health == "leaving")
    return ReplicaHealth::draining;
  if (health != "ready")
    errors.push_back({"health", "is none of cold, ready, leaving"});
  return ReplicaHealth::ready;
}

}  // namespace

ApiResponse text_response(std::string text) {
  ApiResponse response;
  if (text.empty() || text.back() != '\n')
    text += '\n';
  response.body = std::move(text);
  response.headers["Content-Type"] = "text/plain; charset=utf-8";
  return response;
}

ApiResponse json_response(const Json& body) {
  ApiResponse response;
  response.body = body.dump() + "\n";
  return response;
}

std::string describe_outcome(const CommitReply& reply) {
  switch (reply.outcome) {
    case CommitOutcome::committed:
      return "yes epoch " + std::to_string(reply.epoch.value());
    case CommitOutcome::rejected:
      return "no: " + reply.reason;
    case CommitOutcome::unknown:
      break;
  }
  return "unknown: retry with " + reply.id + (reply.reason.empty() ? "" : " (" + reply.reason + ")");
}

ApiResponse commit_response(const CommitReply& reply, Revision revision) {
  Json body = Json::object();
  body["id"] = reply.id;
  uint32_t status = 503;
  switch (reply.outcome) {
    case CommitOutcome::committed:
      status = 200;
      body["outcome"] = "yes";
      body["epoch"] = reply.epoch.value();
      body["revision"] = revision.value();
      break;
    case CommitOutcome::rejected:
      status = 409;
      body["outcome"] = "no";
      body["reason"] = reply.reason;
      break;
    case CommitOutcome::unknown:
      body["outcome"] = "unknown";
      body["reason"] = "retry with the same id" + (reply.reason.empty() ? "" : ": " + reply.reason);
      break;
  }
  auto response = json_response(body);
  response.status = status;
  if (status == 503)
    response.headers["Retry-After"] = "1";
  return response;
}

Result<Replica> parse_replica(const std::string& name, const std::string& text) {
  auto object = Json::parse(text, nullptr, false);
  if (!object.is_object())
    return Errors{{"body", "is no JSON object"}};
  Errors errors;
  Replica replica{};
  replica.name = name;
  replica.kind = required_text(object, "kind", errors);
  replica.zone = required_text(object, "zone", errors);
  replica.url = required_text(object, "url", errors);
  replica.capacity = capacity_of(object, errors);
  replica.health = health_of(object, errors);
  if (!errors.empty())
    return errors;
  return replica;
}

ApiResponse show_configuration(const Metadata& metadata) {
  return json_response({{"revision", metadata.revision.value()},
                        {"epoch", metadata.epoch.value()},
                        {"configuration", json::write(metadata.configuration)}});
}

ApiResponse list_replicas(const Metadata& metadata) {
  Json replicas = Json::array();
  for (const auto& [replica_name, replica] : metadata.replicas) {
    replicas.push_back({{"name", replica_name},
                        {"kind", replica.kind},
                        {"zone", replica.zone},
                        {"url", replica.url},
                        {"health", name(replica.health)},
                        {"places", replica.capacity},
                        {"epoch", replica.since.value()}});
  }
  return json_response({{"epoch", metadata.epoch.value()}, {"replicas", replicas}});
}

Json gateway_json(const Daemon& daemon, const Metadata& metadata, const PeerStatus* status, TimePoint now) {
  bool has_recent_heartbeat = status && now - status->last_heartbeat_at < kHeartbeatInterval * kMaxMissedHeartbeats;
  bool evacuated = metadata.evacuated.count(daemon.self.zone) > 0;
  return {{"id", daemon.id.value()},
          {"http", daemon.self.http_address},
          {"zone", daemon.self.zone},
          {"state", name(daemon.state)},
          {"ready", has_recent_heartbeat && daemon.state == DaemonState::up && !evacuated},
          {"load", status ? status->load : 0},
          {"epoch", status ? status->known_epoch.value() : 0}};
}

}  // namespace mosskeel
