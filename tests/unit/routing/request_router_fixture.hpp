#pragma once
// A front's traffic with replicas and callers played by hand, in the platform's words.
#include <catch2/catch.hpp>

#include "routing/request_router.hpp"

namespace mosskeel::test {

using namespace routing;

inline Path path(const std::string& name, const std::string& kind, const std::string& service) {
  Path p{};
  p.name = name;
  p.host = "h.example";
  p.prefix = "/" + name + "/";
  p.kind = kind;
  p.timeout_ms = 4000;
  p.target_ms = 800;
  p.rank = 1;
  p.attempts = 2;
  p.retention_ms = 60000;
  p.shares = {{service, 1}};
  return p;
}

inline Replica listed(const std::string& name, const std::string& service, const std::string& zone, uint32_t places) {
  return {name, "listed", zone, "http://" + name + ":1", ReplicaHealth::ready, Epoch{3}, places, service, 0};
}

inline Service service(const std::string& name, uint32_t event_tokens) {
  Service s{};
  s.name = name;
  s.event_tokens = event_tokens;
  return s;
}

/// Front 1 in zone z1; three replicas of `app`, three of `model`, two of `spare`.
inline Metadata served() {
  Metadata m{};
  m.epoch = Epoch{5};
  m.revision = Revision{1};
  for (uint64_t i : {1, 2}) {
    auto n = std::to_string(i);
    Candidate c{Incarnation{i}, Role::front, "z1", "10.0.0." + n + ":1", "", "", "machine-" + n};
    m.directory[DaemonId{i}] = {DaemonId{i}, c, DaemonState::up, Epoch{2}};
  }
  for (std::string s : {"app", "model", "spare"})
    for (int i = 1; i <= (s == "spare" ? 2 : 3); ++i) {
      auto n = s + std::to_string(i);
      m.replicas[n] = listed(n, s, "z1", 8);
    }
  m.configuration.services = {service("app", 0), service("model", 4), service("spare", 0)};
  m.configuration.paths = {path("safe", "safe", "app"),          path("unsafe", "unsafe", "app"),
                           path("stream", "streaming", "model"), path("resume", "streaming", "model"),
                           path("turn", "streaming", "model"),   path("brief", "streaming", "model")};
  m.configuration.paths[3].resumable = true;
  m.configuration.paths[4].kept = true;
  return m;
}

struct Front {
  Metadata m = served();
  RequestRouter t{*find_protocol_codec("platform")};
  Millis now = 1000;
  Actions got;
  uint64_t last = 0;

  Front() { publish(); }
  /// Lets the traffic see `m`, in touch until `until`.
  void publish(Millis until = 1000000) {
    t.routing_snapshot(std::make_shared<RoutingSnapshot>(
                           RoutingSnapshot{std::make_shared<Metadata>(m), DaemonId{1}, until, true, false}),
                       now);
  }
  void happen(Event e) { got = t.step(std::move(e), now); }
  void pass(Millis ms) {
    now += ms;
    got = t.tick(now);
  }
  template <class T>
  std::vector<T> all() const {
    std::vector<T> v;
    for (auto& a : got)
      if (auto* x = std::get_if<T>(&a))
        v.push_back(*x);
    return v;
  }
  template <class T>
  T one() const {
    auto v = all<T>();
    REQUIRE(v.size() == 1);
    return v[0];
  }
  template <class T>
  bool none() const {
    return all<T>().empty();
  }

  /// A caller's request on the path of that name; a turn of program p where the path is `turn` or `brief`.
  std::string ask(const std::string& name, HeaderFields more = {}, const std::string& attempt = "") {
    auto id = ++last;
    auto a = attempt.empty() ? "a" + std::to_string(id) : attempt;
    HttpRequest r{"POST", "/" + name + "/1?q=2", "h.example", {{"Mosskeel-Attempt-Id", a}}, "new;"};
    r.fields.insert(r.fields.end(), more.begin(), more.end());
    if (name == "turn" || name == "brief") {
      r.fields.push_back({"Mosskeel-Program-Id", "p"});
      r.fields.push_back({"Mosskeel-Token-Budget", "1000"});
      r.fields.push_back({"Mosskeel-Token-Count", "100,40"});
    }
    happen(RequestReceived{id, std::move(r)});
    return a;
  }
  void grant(const std::string& attempt, uint32_t status = 200, const std::string& chain = "", uint32_t retry = 0) {
    happen(ReserveTurnReply{attempt, status, retry, "for a reason", chain});
  }
  /// Asks, and for a turn grants; leaves the ask of the replica.
  SendToReplica offered(const std::string& name, HeaderFields more = {}) {
    auto a = ask(name, std::move(more));
    if (name == "turn" || name == "brief")
      grant(a);
    return one<SendToReplica>();
  }
  void head(const SendToReplica& q, uint32_t status, HeaderFields more = {}, bool sealed = true) {
    HeaderFields f{{"Mosskeel-Attempt-Id", std::string(header_value(q.fields, "Mosskeel-Attempt-Id"))}};
    if (sealed)
      f.push_back({"Mosskeel-Server-Seal", "s.1"});
    f.insert(f.end(), more.begin(), more.end());
    happen(ResponseHeadersReceived{q.ask, status, f});
  }
  void events(const SendToReplica& q, int from, int to) {
    for (int i = from; i < to; ++i)
      happen(ResponseDataReceived{q.ask, "id: " + std::to_string(i) + "\ndata: w" + std::to_string(i) + "\n\n"});
  }
  void stream_head(const SendToReplica& q) { head(q, 200, {{"Content-Type", "text/event-stream"}}); }
  /// What the owner was told of a turn.
  CommitTurn told() const { return std::get<CommitTurn>(one<SendToOwner>().body); }
  std::string retry_after() const { return std::string(header_value(one<SendResponse>().fields, "Retry-After")); }
};

}  // namespace mosskeel::test
