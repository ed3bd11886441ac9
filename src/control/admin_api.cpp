#include "control/admin_api.hpp"

#include "base/json.hpp"
#include "control/constants.hpp"
#include "metadata/constants.hpp"
#include "replication/constants.hpp"
#include "runtime/constants.hpp"
#include "runtime/daemon.hpp"

namespace mosskeel {
using json::Json;

namespace {

ApiResponse plain(std::string s) {
  ApiResponse a;
  if (s.empty() || s.back() != '\n')
    s += '\n';
  a.body = std::move(s);
  a.headers["Content-Type"] = "text/plain; charset=utf-8";
  return a;
}

ApiResponse body(const Json& j) {
  ApiResponse a;
  a.body = j.dump() + "\n";
  return a;
}

std::string id_of(const ApiRequest& a) {
  auto i = a.headers.find("idempotency-key");
  return i != a.headers.end() && !i->second.empty() ? i->second : "op-" + hex(dice());
}

std::string verdict(const CommitReply& r) {
  if (r.outcome == CommitOutcome::committed)
    return "yes epoch " + std::to_string(r.epoch.value());
  if (r.outcome == CommitOutcome::rejected)
    return "no: " + r.reason;
  return "unknown: retry with " + r.id + (r.reason.empty() ? "" : " (" + r.reason + ")");
}

}  // namespace

ApiResponse AdminApi::change(const Transformation& t, const ApiRequest& a) {
  auto r = commit_safely(t, id_of(a));
  Json j{{"outcome", r.outcome == CommitOutcome::committed  ? "yes"
                     : r.outcome == CommitOutcome::rejected ? "no"
                                                            : "unknown"},
         {"id", r.id}};
  if (r.outcome == CommitOutcome::committed)
    j["epoch"] = r.epoch.value(), j["revision"] = host_.view()->revision.value();
  else
    j["reason"] = r.outcome == CommitOutcome::rejected
                      ? r.reason
                      : "retry with the same id" + (r.reason.empty() ? "" : ": " + r.reason);
  auto x = body(j);
  x.status = r.outcome == CommitOutcome::committed ? 200 : r.outcome == CommitOutcome::rejected ? 409 : 503;
  if (x.status == 503)
    x.headers["Retry-After"] = "1";
  note(Event::platform_request, describe(t) + ": " + verdict(r));
  return x;
}

std::vector<Entry> AdminApi::recent_entries() {
  std::vector<Entry> v;
  inspect([&](ControllerMachine& m, Millis) { v.assign(m.recent_entries().begin(), m.recent_entries().end()); });
  return v;
}

ApiResponse AdminApi::read(const std::function<ApiResponse(const Metadata&)>& show) {
  if (auto v = linearizable_read(*this, kOperatorRequestTimeout))
    return show(*v);
  return ApiResponse::error(503, "unclear", "no majority of the core answered in time", kDefaultRetryAfter);
}

ApiResponse AdminApi::say(const ApiRequest& a) {
  auto c = command_language::parse(a.body);
  std::string s;
  bool rebuilds = c.ok() && std::holds_alternative<command_language::RebuildCore>(c.value());
  // The core that is to be founded anew has no majority to confirm anything.
  auto v = !c.ok() || rebuilds ? host_.view() : linearizable_read(*this, kOperatorRequestTimeout);
  if (!c.ok()) {
    s = "no: " + to_string(c.errors());
  } else if (!v) {
    s = verdict({id_of(a), CommitOutcome::unknown, "no majority of the core answered in time", {}, std::nullopt, {}});
  } else if (auto* x = std::get_if<command_language::ShowQuery>(&c.value())) {
    s = command_language::show(*x, *v);
  } else if (auto* x = std::get_if<command_language::ExplainQuery>(&c.value())) {
    s = command_language::explain(*x, *v, recent_entries());
  } else if (auto* x = std::get_if<command_language::RebuildCore>(&c.value())) {
    s = verdict(rebuild(x->lost));
  } else {
    auto t = command_language::to_transformation(c.value(), *v);
    s = t.ok() ? verdict(commit_safely(t.value(), id_of(a))) : "no: " + to_string(t.errors());
  }
  note(Event::operator_command, "'" + a.body.substr(0, 200) + "': " + s.substr(0, s.find('\n')));
  return plain(s);
}

ApiResponse AdminApi::put_configuration(const ApiRequest& a) {
  auto q = a.query.find("revision");
  if (q == a.query.end() || q->second.empty() || q->second.size() > 18 ||
      q->second.find_first_not_of("0123456789") != std::string::npos)
    return ApiResponse::error(400, "invalid",
                              Errors{{"revision", "the revision that this configuration is built on is missing"}});
  auto m = json::parse<Configuration>(a.body);
  if (!m.ok())
    return ApiResponse::error(400, "invalid", m.errors());
  if (auto f = validate(m.value()); !f.empty())
    return ApiResponse::error(400, "invalid", f);
  return change(ApplyConfiguration{Revision{std::stoull(q->second)}, m.value()}, a);
}

ApiResponse AdminApi::put_replica(const ApiRequest& a, const std::string& name) {
  auto j = Json::parse(a.body, nullptr, false);
  if (!j.is_object())
    return ApiResponse::error(400, "invalid", Errors{{"body", "is no JSON object"}});
  Errors f;
  auto text = [&](const char* k) -> std::string {
    if (j.contains(k) && j[k].is_string())
      return j[k];
    f.push_back({k, "is missing or no string"});
    return "";
  };
  Replica r{name, text("kind"), text("zone"), text("url"), ReplicaHealth::ready, {}, kDefaultReplicaCapacity};
  if (j.contains("places")) {
    auto& p = j["places"];
    if (p.is_number_unsigned() && p >= 1 && p <= kMaxReplicaCapacity)
      r.capacity = p;
    else
      f.push_back({"places", "must be a whole number from 1 to " + std::to_string(kMaxReplicaCapacity)});
  }
  auto fit = j.contains("health") ? text("health") : "cold";
  if (fit == "cold")
    r.health = ReplicaHealth::warming_up;
  else if (fit == "leaving")
    r.health = ReplicaHealth::draining;
  else if (fit != "ready")
    f.push_back({"health", "is none of cold, ready, leaving"});
  if (!f.empty())
    return ApiResponse::error(400, "invalid", f);
  return change(SetReplica{r}, a);
}

ApiResponse AdminApi::replicas(const Metadata& m) {
  Json j = Json::array();
  for (auto& [n, r] : m.replicas)
    j.push_back({{"name", n},
                 {"kind", r.kind},
                 {"zone", r.zone},
                 {"url", r.url},
                 {"health", name(r.health)},
                 {"places", r.capacity},
                 {"epoch", r.since.value()}});
  return body({{"epoch", m.epoch.value()}, {"replicas", j}});
}

ApiResponse AdminApi::fronts(const Metadata& m) {
  Json j = Json::array();
  inspect([&](ControllerMachine& controller, Millis now) {
    auto& h = controller.failure_detector();
    for (auto& [id, d] : m.directory) {
      if (d.self.role != Role::front || d.state == DaemonState::left)
        continue;
      auto* x = h.status_of(d.self.incarnation);
      bool fresh = x && now - x->last_heartbeat_at < kHeartbeatInterval * 4;
      j.push_back({{"id", id.value()},
                   {"http", d.self.http_address},
                   {"zone", d.self.zone},
                   {"state", name(d.state)},
                   {"ready", fresh && d.state == DaemonState::up && !m.evacuated.count(d.self.zone)},
                   {"load", x ? x->load : 0},
                   {"epoch", x ? x->known_epoch.value() : 0}});
    }
  });
  return body({{"epoch", m.epoch.value()}, {"fronts", j}});
}

ApiResponse AdminApi::metrics() {
  double lease = 0;
  inspect([&](ControllerMachine& m, Millis now) { lease = m.is_supervisor(now); });
  auto v = host_.view();
  std::map<std::string, double> more{{"supervisor_lease_held", lease},
                                     {"sequences", static_cast<double>(v->sequences.size())},
                                     {"daemons", static_cast<double>(v->directory.size())}};
  return plain(metrics_of(host_, "controller", more));
}

ApiResponse AdminApi::answer(const ApiRequest& a) {
  ControlSession session(*this, process_now());
  if (auto x = dialect_ ? dialect_->answer(a, session) : std::nullopt) {
    note(Event::platform_request, a.method + " " + a.path + ": " + std::to_string(x->status));
    return *x;
  }
  bool old = false;
  inspect([&](ControllerMachine& m, Millis) { old = m.removed_by_refounding(); });
  if (old)
    return ApiResponse::error(503, "earlier_generation",
                              "the core was founded anew without this controller; empty its folder");
  if (a.path == "/v1/say" && a.method == "POST")
    return say(a);
  if (a.path == "/v1/cluster/configuration" && a.method == "GET")
    return read([](const Metadata& m) {
      return body({{"revision", m.revision.value()},
                   {"epoch", m.epoch.value()},
                   {"configuration", json::write(m.configuration)}});
    });
  if (a.path == "/v1/cluster/configuration" && a.method == "PUT")
    return put_configuration(a);
  if (a.path == "/v1/replicas" && a.method == "GET")
    return read([this](const Metadata& m) { return replicas(m); });
  if (a.path.starts_with("/v1/replicas/")) {
    auto n = a.path.substr(13);
    if (a.method == "PUT")
      return put_replica(a, n);
    if (a.method == "DELETE")
      return change(RemoveReplica{n}, a);
  }
  if (a.path == "/v1/fronts" && a.method == "GET")
    return read([this](const Metadata& m) { return fronts(m); });
  if (a.path == "/metrics")
    return metrics();
  auto v = host_.view();
  if (a.path == "/ready")
    return v->cluster ? body({{"ready", true}, {"epoch", v->epoch.value()}})
                      : ApiResponse::error(503, "not_ready", "the cluster is not founded yet", kDefaultRetryAfter);
  return ApiResponse::error(404, "unknown_path", a.method + " " + a.path + " is nothing here");
}

}  // namespace mosskeel
