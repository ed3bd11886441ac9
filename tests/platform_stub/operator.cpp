#include "platform_stub/operator.hpp"

#include "platform_stub/replicas.hpp"

namespace mosskeel::standin {
namespace {

using Json = nlohmann::json;
constexpr Duration apply_time = 2000ms;

Json route(const std::string& name, const std::string& kind, const std::string& service) {
  return {{"Name", "r-" + name},
          {"Host", "ask.example"},
          {"PathPrefix", "/" + name + "/"},
          {"RouteKind", kind},
          {"TimeoutMs", 4000},
          {"TargetLatencyMs", 1500},
          {"Priority", 1},
          {"MaxAttempts", 3},
          {"Service", service},
          {"Retained", name == "turn"},
          {"RetentionS", 60.0},
          {"StickySessions", kind == "streaming"},
          {"Resumable", name == "resume"},
          {"GapTargetMs", kind == "streaming" ? 1000 : 0}};
}

Json service(const std::string& name) {
  Json s{{"Name", name},        {"HealthPath", "/health"}, {"MaxConnections", 100}, {"Protocol", "h1"},
         {"TlsEnabled", false}, {"ColdStartS", 5.0},       {"ColdPerS", cold_per_s}};
  if (name == "model")
    s["Runtime"] = {{"SlotCount", slot_count}, {"CacheTokens", 100000}, {"TokensPerEvent", event_tokens}};
  return s;
}

Json first() {
  return {
      {"Revision", 5},
      {"Routes",
       {route("safe", "safe", "app"), route("unsafe", "unsafe", "app"), route("old", "safe", "app"),
        route("rogue", "safe", "rogue"), route("stream", "streaming", "model"), route("resume", "streaming", "model"),
        route("turn", "streaming", "model"), route("brief", "streaming", "model")}},
      {"Services", {service("app"), service("app2"), service("rogue"), service("model")}},
      {"Limits",
       {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 4194304}, {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15000}}}};
}

}  // namespace

void Operator::call(const std::string& method, const std::string& path, const std::string& body, int base,
                    Duration patience, Done done) {
  HeaderFields f{{"Host", "control"}, {"Content-Type", "application/json"}};
  if (base >= 0)
    f.push_back({"If-Match", std::to_string(base)});
  auto end = monotonic_now() + patience;
  auto to = std::make_shared<Address>(), led = std::make_shared<Address>();
  auto hops = std::make_shared<int>(0);
  auto go = std::make_shared<std::function<void()>>();
  *go = [=, this] {
    *to = led->empty() ? w_.plan.control(static_cast<int>(w_.roll(3))) : std::exchange(*led, "");
    w_.ask({*to, method, path, f, body}, 1000ms, [=, this](Reply&& r) {
      bool clear = r.whole && r.status < 500 && r.status != 408 && r.status != 429 && r.status != 307;
      if (clear || monotonic_now() > end) {
        w_.loop.post([go] { *go = nullptr; });
        return done(clear ? r.status : 0, r.body);
      }
      if (auto l = std::string(header_value(r.fields, "Location")); r.status == 307 && ++*hops % 3)
        *led = l.substr(7, l.find('/', 7) - 7);
      w_.loop.run_after(led->empty() ? 150ms : 1ms, [go] { (*go)(); });
    });
  };
  (*go)();
}

void Operator::expect(const std::string& what, uint32_t status, const std::set<uint32_t>& good) {
  if (!good.count(status))
    w_.book.violate(what + " is answered with " + std::to_string(status));
}

void Operator::begin(std::function<void()> then) {
  document_ = first();
  auto text = document_.dump();
  auto wrong = document_, other = document_;
  wrong["Revision"] = 6;
  wrong["Routes"][0]["Service"] = "nobody";
  other["Revision"] = 9;
  call("PUT", "/v1/config", text, 0, 30000ms, [=, this](uint32_t status, const std::string&) {
    expect("the first configuration", status, {200});
    call("PUT", "/v1/config", text, 0, 5000ms, [=, this](uint32_t again, const std::string&) {
      expect("the same configuration again", again, {200});
      call("PUT", "/v1/config", wrong.dump(), 5, 5000ms, [=, this](uint32_t invalid, const std::string&) {
        expect("an invalid configuration", invalid, {400, 409, 422});
        call("PUT", "/v1/config", other.dump(), 3, 5000ms, [=, this](uint32_t late, const std::string&) {
          expect("a configuration on another version", late, {412});
          then();
        });
      });
    });
  });
}

void Operator::change(std::function<void()> then) {
  auto moved = route("safe", "safe", "app2"), added = route("new", "safe", "app");
  Json change{{"Revision", 8}, {"Upsert", {{"Routes", {moved, added}}}}, {"Remove", {{"Routes", {"r-old"}}}}};
  document_["Revision"] = 8;
  document_["Routes"][0] = moved;
  document_["Routes"].erase(2);
  document_["Routes"].push_back(added);
  call("PATCH", "/v1/config", change.dump(), 5, 15000ms, [=, this](uint32_t status, const std::string&) {
    expect("a change of named items", status, {200});
    auto at = monotonic_now() + apply_time;
    w_.book.rule("/safe/", "app2", at);
    w_.book.rule("/old/", "", at);
    w_.loop.run_after(apply_time + 50ms, then);
  });
}

void Operator::evacuate(const std::string& zone, bool on, std::function<void()> then) {
  call(on ? "POST" : "DELETE", "/v1/evacuate/" + zone, "", -1, 15000ms, [=, this](uint32_t status, const std::string&) {
    expect(on ? "an evacuation" : "its withdrawal", status, {200, 202, 204});
    then();
  });
}

void Operator::retire() {
  auto body = Json{{"DeadlineS", 10}}.dump();
  call("POST", "/v1/retire/storage-9", body, -1, 15000ms,
       [this](uint32_t s, const std::string&) { expect("the retirement of an unknown machine", s, {404}); });
  call("POST", "/v1/retire/storage-2", body, -1, 15000ms,
       [this](uint32_t s, const std::string&) { expect("a retirement that leaves too few", s, {409}); });
  call("GET", "/v1/retire/storage-2", "", -1, 15000ms, [this](uint32_t s, const std::string& b) {
    expect("the state of a machine", s, {200});
    if (b.find("serving") == b.npos)
      w_.book.violate("a machine that serves is said to be " + b);
  });
}

void Operator::read_back(std::function<void()> then) {
  call("GET", "/v1/config", "", -1, 15000ms, [=, this](uint32_t status, const std::string& body) {
    expect("the configuration read back", status, {200});
    auto j = Json::parse(body, nullptr, false);
    if (j.is_discarded() || j != document_)
      w_.book.violate("another configuration is read back: " + body);
    then();
  });
}

}  // namespace mosskeel::standin
