#pragma once
// A request router under test; the test takes the roles of callers, replicas and owners of turns.
#include "routing/constants.hpp"
#include "routing/request_router.hpp"
#include "unit/catch.hpp"

namespace mosskeel::test {

using namespace routing;
// The namespace mosskeel also declares Actions and Event, for daemons and log events.
using routing::Actions;
using routing::Event;

/// Settings of the paths that `path()` creates. A request waits for a replica for a quarter of the latency target.
inline constexpr Duration kPathTimeout = 4000ms;
inline constexpr Duration kPathLatencyTarget = 800ms;
inline constexpr Duration kMaxPathWait = kPathLatencyTarget / 4;

/// A path "/NAME/" of the host h.example with one service and two attempts.
inline Path path(const std::string& name, const std::string& kind, const std::string& service) {
  Path path{};
  path.name = name;
  path.host = "h.example";
  path.prefix = "/" + name + "/";
  path.kind = kind;
  path.timeout_ms = kPathTimeout.count();
  path.target_ms = kPathLatencyTarget.count();
  path.rank = 1;
  path.attempts = 2;
  path.retention_ms = 60000;
  path.shares = {{service, 1}};
  return path;
}

inline Replica make_replica(const std::string& name, const std::string& service, const std::string& zone,
                            uint32_t capacity) {
  return {name, "listed", zone, "http://" + name + ":1", ReplicaHealth::ready, Epoch{3}, capacity, service, 0};
}

inline Service service(const std::string& name, uint32_t event_tokens) {
  Service service{};
  service.name = name;
  service.event_tokens = event_tokens;
  return service;
}

/// Capacity of each replica in `routing_metadata`.
inline constexpr uint32_t kReplicaCapacity = 8;
inline constexpr uint32_t kGateways = 2;

/// Gateways 1 and 2 in zone z1; three replicas of `app`, three of `model`, two of `spare`. Paths are named after their
/// kind; `turn` keeps history, `brief` does not.
inline Metadata routing_metadata() {
  Metadata metadata{};
  metadata.epoch = Epoch{5};
  metadata.revision = Revision{1};
  for (uint64_t id = 1; id <= kGateways; ++id) {
    auto number = std::to_string(id);
    DaemonInfo gateway{Incarnation{id}, Role::gateway, "z1", "10.0.0." + number + ":1", "", "", "machine-" + number};
    metadata.directory[DaemonId{id}] = {DaemonId{id}, gateway, DaemonState::up, Epoch{2}};
  }
  for (std::string service_name : {"app", "model", "spare"}) {
    int replicas = service_name == "spare" ? 2 : 3;
    for (int number = 1; number <= replicas; ++number) {
      auto name = service_name + std::to_string(number);
      metadata.replicas[name] = make_replica(name, service_name, "z1", kReplicaCapacity);
    }
  }
  metadata.configuration.services = {service("app", 0), service("model", 4), service("spare", 0)};
  metadata.configuration.paths = {path("safe", "safe", "app"),          path("unsafe", "unsafe", "app"),
                                  path("stream", "streaming", "model"), path("resume", "streaming", "model"),
                                  path("turn", "streaming", "model"),   path("brief", "streaming", "model")};
  metadata.configuration.paths[3].resumable = true;
  metadata.configuration.paths[4].kept = true;
  return metadata;
}

/// Whether requests on the path of this name are turns.
inline bool is_turn(const std::string& path_name) {
  return path_name == "turn" || path_name == "brief";
}

/// The router of gateway 1.
struct RouterFixture {
  Metadata metadata = routing_metadata();
  RequestRouter router{*find_protocol_codec("platform")};
  TimePoint now{1000ms};
  /// The actions of the last event or tick.
  Actions actions;
  RequestId last_request_id = 0;

  RouterFixture() { publish(); }

  /// Publishes `metadata` to the router, with majority contact until `dispatch_until`.
  void publish(TimePoint dispatch_until = TimePoint{1000000ms}) {
    RoutingSnapshot snapshot{std::make_shared<Metadata>(metadata), DaemonId{1}, dispatch_until, true};
    router.update(std::make_shared<RoutingSnapshot>(std::move(snapshot)), now);
  }

  void handle(Event event) { actions = router.handle(std::move(event), now); }

  void advance(Duration elapsed) {
    now += elapsed;
    actions = router.tick(now);
  }

  /// The actions of one kind among those of the last event or tick.
  template <class Kind>
  std::vector<Kind> all() const {
    std::vector<Kind> selected;
    for (auto& action : actions)
      if (auto* alternative = std::get_if<Kind>(&action))
        selected.push_back(*alternative);
    return selected;
  }

  template <class Kind>
  Kind one() const {
    auto selected = all<Kind>();
    REQUIRE(selected.size() == 1);
    return selected[0];
  }

  template <class Kind>
  bool none() const {
    return all<Kind>().empty();
  }

  /// Receives a caller's request on the path of this name: a turn of program p if `is_turn`. Returns the attempt id.
  std::string receive(const std::string& path_name, HeaderFields more_fields = {}, const std::string& id = "") {
    auto request_id = ++last_request_id;
    auto attempt_id = id.empty() ? "a" + std::to_string(request_id) : id;
    HttpRequest request{"POST", "/" + path_name + "/1?q=2", "h.example", {{"Mosskeel-Attempt-Id", attempt_id}}, "new;"};
    request.fields.insert(request.fields.end(), more_fields.begin(), more_fields.end());
    if (is_turn(path_name)) {
      request.fields.push_back({"Mosskeel-Program-Id", "p"});
      request.fields.push_back({"Mosskeel-Token-Budget", "1000"});
      request.fields.push_back({"Mosskeel-Token-Count", "100,40"});
    }
    handle(RequestReceived{request_id, std::move(request)});
    return attempt_id;
  }

  /// Receives the owner's reply to a reservation.
  void reply_to_reservation(const std::string& attempt_id, uint32_t status = 200, const std::string& chain = "",
                            uint32_t retry_after_ms = 0) {
    handle(ReserveTurnReply{attempt_id, status, retry_after_ms, "for a reason", chain});
  }

  /// Receives a request, grants it if it is a turn, and returns what was sent to a replica.
  SendToReplica receive_and_send(const std::string& path_name, HeaderFields more_fields = {}) {
    auto attempt_id = receive(path_name, std::move(more_fields));
    if (is_turn(path_name))
      reply_to_reservation(attempt_id);
    return one<SendToReplica>();
  }

  /// Receives the status and headers of the replica's response, with the attempt's id.
  void respond(const SendToReplica& sent, uint32_t status, HeaderFields more_fields = {}, bool sealed = true) {
    HeaderFields fields{{"Mosskeel-Attempt-Id", std::string(header_value(sent.fields, "Mosskeel-Attempt-Id"))}};
    if (sealed)
      fields.push_back({"Mosskeel-Server-Seal", "s.1"});
    fields.insert(fields.end(), more_fields.begin(), more_fields.end());
    handle(ResponseHeadersReceived{sent.attempt, status, fields, ""});
  }

  void respond_with_stream(const SendToReplica& sent) { respond(sent, 200, {{"Content-Type", "text/event-stream"}}); }

  /// Receives the events `first` to `last` - 1 of the replica's stream.
  void stream_events(const SendToReplica& sent, int first, int last) {
    for (int event = first; event < last; ++event) {
      auto number = std::to_string(event);
      handle(ResponseDataReceived{sent.attempt, "id: " + number + "\ndata: w" + number + "\n\n"});
    }
  }

  /// The turn's outcome that was sent to the owner.
  CommitTurn outcome() const { return std::get<CommitTurn>(one<SendToOwner>().message); }

  /// The Retry-After header of the response to the caller; empty if it has none.
  std::string retry_after() const { return std::string(header_value(one<SendResponse>().fields, "Retry-After")); }
};

}  // namespace mosskeel::test
