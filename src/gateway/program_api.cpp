#include "gateway/program_api.hpp"

#include <nlohmann/json.hpp>

#include "programs/constants.hpp"
#include "routing/constants.hpp"
#include "runtime/constants.hpp"
#include "runtime/daemon.hpp"

namespace mosskeel {
namespace {
using Json = nlohmann::json;

std::string header(const ApiRequest& a, const char* n) {
  auto i = a.headers.find(n);
  return i == a.headers.end() ? "" : i->second;
}

std::string dump(const Json& j) {
  return j.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

const char* code(const ProgramResponse& e) {
  if (e.status == 410)
    return "ended";
  if (e.executed == Outcome::unknown)
    return "outcome_unknown";
  switch (e.status) {
    case 400:
      return "invalid";
    case 404:
      return "unknown_or_missing";
    case 409:
      return "conflict";
    case 429:
      return "budget_spent";
    case 503:
      return "not_run";
    case 504:
      return "late";
    default:
      return "refused";
  }
}

Json verdict(const ProgramResponse& e) {
  Json j{{"error", code(e)},
         {"reason", e.reason},
         {"ran", e.executed == Outcome::yes  ? "yes"
                 : e.executed == Outcome::no ? "no"
                                             : "unknown"}};
  if (e.retry_ms)
    j["retry_after_ms"] = e.retry_ms;
  return j;
}

ApiResponse refused(const ProgramResponse& e) {
  ApiResponse a;
  a.status = e.status;
  a.body = dump(verdict(e));
  if (e.retry_ms)
    a.headers["Retry-After"] = std::to_string((e.retry_ms + 999) / 1000);
  return a;
}

Json done(const ProgramResponse& e) {
  return {{"done", true}, {"turn", e.turn}, {"tokens", e.tokens}, {"pieces", e.chunks}};
}

/// Common headers: deadline, class, key.
Errors dress(const ApiRequest& a, ProgramRequest& e) {
  Errors f;
  e.key = header(a, "idempotency-key");
  if (e.key.size() > 256)
    f.push_back({"Idempotency-Key", "is longer than 256 bytes"});
  auto h = header(a, "x-deadline-ms");
  if (!h.empty()) {
    if (h.size() > 9 || h.find_first_not_of("0123456789") != std::string::npos)
      f.push_back({"X-Deadline-Ms", "is no number of milliseconds"});
    else
      e.deadline_ms = std::stoll(h);
  }
  auto c = header(a, "x-class");
  if (c == "urgent")
    e.urgent = true;
  else if (c == "bulk")
    e.bulk = true;
  else if (!c.empty() && c != "normal")
    f.push_back({"X-Class", "is none of urgent, normal, bulk"});
  e.attempt = "a" + hex(dice());
  return f;
}

}  // namespace

ApiResponse Callers::run(ProgramRequest e, bool stream) {
  auto [address, words] = sessions_.open();
  auto a = address;
  auto w = words;
  std::shared_ptr<void> open(nullptr, [this, a](void*) { sessions_.close(a); });
  Envelope env{};
  env.from = address;
  auto v = host_.view();
  env.cluster = v->cluster;
  env.epoch = v->epoch;
  auto attempt = e.attempt;
  auto patience =
      (e.deadline_ms > 0 ? std::min<Millis>(e.deadline_ms, kDefaultRequestTimeout) : kDefaultRequestTimeout) +
      kOutcomeTransferTimeout;
  env.body = std::move(e);
  host_.post(std::move(env));
  std::string text;
  uint32_t n = 0;
  auto until = process_now() + patience;
  ProgramResponse lost{
      attempt, 504, Outcome::unknown, "this worker lost sight of the request", "", 0, 0, kDefaultRetryAfter, false, 0};
  while (true) {
    auto m = w->pop(std::max<Millis>(1, until - process_now()));
    if (!m)
      return refused(lost);
    if (auto* p = std::get_if<ProgramResponseChunk>(&*m)) {
      text += p->text;
      ++n;
      if (!stream)
        continue;
      ApiResponse r;
      r.headers["Content-Type"] = "application/x-ndjson";
      auto first = std::make_shared<std::optional<ProgramResponseChunk>>(*p);
      auto over = std::make_shared<int>(0);
      r.next_chunk = [=](std::string& o) mutable -> ApiResponse::StreamState {
        auto piece = [](const ProgramResponseChunk& x) {
          return dump({{"n", x.index}, {"text", x.text}});
        };
        if (*over)
          return *over == 1 ? ApiResponse::StreamState::finished : ApiResponse::StreamState::aborted;
        if (*first) {
          o = piece(**first);
          first->reset();
          return ApiResponse::StreamState::more;
        }
        auto m = w->pop(std::max<Millis>(1, until - process_now()));
        if (m && std::holds_alternative<ProgramResponseChunk>(*m))
          return o = piece(std::get<ProgramResponseChunk>(*m)), ApiResponse::StreamState::more;
        auto* end = m ? std::get_if<ProgramResponse>(&*m) : nullptr;
        if (m && !end)
          return ApiResponse::StreamState::more;
        bool good = end && end->status == 200;
        o = dump(good ? done(*end) : verdict(end ? *end : lost));
        *over = good ? 1 : 2;
        open.reset();
        return ApiResponse::StreamState::more;
      };
      return r;
    }
    if (auto* end = std::get_if<ProgramResponse>(&*m)) {
      if (end->status != 200)
        return refused(*end);
      ApiResponse r;
      if (stream) {
        r.headers["Content-Type"] = "application/x-ndjson";
        auto d = done(*end);
        d["pieces"] = 1;
        r.body = dump({{"n", 0}, {"text", end->body}}) + dump(d);
        return r;
      }
      auto d = done(*end);
      d["output"] = end->body;
      r.body = dump(d);
      return r;
    }
  }
}

ApiResponse Callers::turn(const ApiRequest& a, const std::string& cell, const std::string& program) {
  ProgramRequest e{};
  auto f = dress(a, e);
  auto j = Json::parse(a.body, nullptr, false);
  bool stream = false;
  if (!j.is_object()) {
    f.push_back({"body", "is no JSON object"});
  } else {
    for (auto& [k, v] : j.items()) {
      if (k == "input" && v.is_string())
        e.body = v;
      else if (k == "prefix" && v.is_string())
        e.prefix = v;
      else if (k == "thread" && v.is_string())
        e.thread = v;
      else if (k == "route" && v.is_string())
        e.route = v;
      else if (k == "max_tokens" && v.is_number_unsigned())
        e.max_tokens = v;
      else if (k == "after" && v.is_number_unsigned() && v < 1000000)
        e.expected_turns = v.get<uint32_t>();
      else if (k == "stream" && v.is_boolean())
        stream = v;
      else
        f.push_back({k, "is not known here or of another type"});
    }
    if (!j.contains("input"))
      f.push_back({"input", "is missing"});
  }
  if (e.thread.empty())
    e.thread = "main";
  if (e.route.empty())
    e.route = "chat";
  if (!f.empty())
    return ApiResponse::error(400, "invalid", f);
  e.kind = "model";
  e.cell = cell;
  e.program = program;
  return run(std::move(e), stream);
}

ApiResponse Callers::app(const ApiRequest& a, const std::string& cell, const std::string& path) {
  ProgramRequest e{};
  if (auto f = dress(a, e); !f.empty())
    return ApiResponse::error(400, "invalid", f);
  e.kind = "app";
  e.cell = cell;
  e.route = header(a, "x-route").empty() ? "app" : header(a, "x-route");
  e.method = a.method;
  e.path = path;
  e.body = a.body;
  e.idempotent = a.method == "GET" || a.method == "HEAD" || header(a, "x-repeatable") == "yes";
  if (a.method == "HEAD")
    e.method = "GET";
  auto r = run(std::move(e), false);
  if (r.status != 200)
    return r;
  auto j = Json::parse(r.body, nullptr, false);
  r.body = j["output"].get<std::string>();
  r.headers["Content-Type"] = "application/octet-stream";
  return r;
}

ApiResponse Callers::answer(const ApiRequest& a) {
  if (a.path == "/metrics")
    return metrics();
  if (a.path == "/ready") {
    bool up = false;
    host_.ask([&](Machine& m, Millis now) { up = static_cast<GatewayMachine&>(m).ready(now); });
    ApiResponse r;
    r.body = "{\"ready\":true}\n";
    return up ? r : ApiResponse::error(503, "not_ready", "this worker is not ready", kDefaultRetryAfter);
  }
  if (a.path.starts_with("/v1/cells/")) {
    auto rest = a.path.substr(10);
    auto k = rest.find('/');
    auto cell = rest.substr(0, k);
    auto tail = k == std::string::npos ? "" : rest.substr(k);
    if (tail.starts_with("/app/"))
      return app(a, cell, tail.substr(4));
    if (tail.starts_with("/programs/")) {
      auto p = tail.substr(10);
      auto t = p.find('/');
      auto name = p.substr(0, t);
      if (!name.empty() && t != std::string::npos && p.substr(t) == "/turns" && a.method == "POST")
        return turn(a, cell, name);
      if (!name.empty() && t == std::string::npos && a.method == "GET") {
        ProgramRequest e{};
        if (auto f = dress(a, e); !f.empty())
          return ApiResponse::error(400, "invalid", f);
        e.kind = "history";
        e.cell = cell;
        e.program = name;
        auto r = run(std::move(e), false);
        if (r.status == 200)
          r.body = Json::parse(r.body)["output"].get<std::string>() + "\n";
        return r;
      }
    }
  }
  return ApiResponse::error(404, "unknown_path", a.method + " " + a.path + " is nothing here");
}

}  // namespace mosskeel
