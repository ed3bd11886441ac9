// A stand-in replica: answers model turns or application requests, with scripted faults.
#include <popt.h>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>

#include "base/log.hpp"
#include "net/http_server.hpp"
#include "runtime/settings.hpp"

using namespace mosskeel;
using Json = nlohmann::json;

namespace {

/// Faults: cut, lost, unsealed, overlong, error, stall, skip, repeat; each hits `left` requests, every `every`th.
struct Script {
  std::mutex m;
  std::string fault;
  uint64_t left = 0, every = 1, seen = 0;
  std::string next() {
    std::lock_guard l(m);
    if (!left || ++seen % every)
      return "";
    --left;
    return fault;
  }
};

struct Stand {
  std::string name, kind;
  int pieces = 8, pace = 20;
  Script script;
  std::mutex m;
  std::ofstream runs;
  std::map<std::string, int> count;
  std::atomic<int> now{0}, peak{0};

  int ran(const std::string& key, const std::string& what) {
    std::lock_guard l(m);
    runs << key << '\t' << name << '\t' << what << std::endl;
    return ++count[key];
  }
};

struct Busy {
  Stand& s;
  explicit Busy(Stand& x) : s(x) {
    int n = ++s.now;
    for (int p = s.peak; n > p && !s.peak.compare_exchange_weak(p, n);) {}
  }
  ~Busy() { --s.now; }
};

void nap(int ms) {
  timespec t{ms / 1000, (ms % 1000) * 1000000L};
  nanosleep(&t, nullptr);
}

ApiResponse model(Stand& s, const ApiRequest& a) {
  auto j = Json::parse(a.body, nullptr, false);
  if (!j.is_object() || !j.contains("key"))
    return ApiResponse::error(400, "invalid", "body: is no turn");
  auto fault = s.script.next();
  std::string chain;
  for (auto& c : j["chain"])
    chain += c["input"].get<std::string>() + '\0' + c["output"].get<std::string>() + '\0';
  s.ran(j["cell"].get<std::string>() + "/" + j["program"].get<std::string>() + "/" + j["key"].get<std::string>(),
        "turn");
  if (fault == "error")
    return ApiResponse::error(500, "broken", "scripted");
  if (fault == "stall")
    nap(30000);
  auto limit = j["max_tokens"].get<uint64_t>();
  auto n = std::min<uint64_t>(static_cast<uint64_t>(s.pieces), limit);
  if (fault == "overlong")
    n = limit + 4;
  auto at = std::make_shared<uint64_t>(0);
  auto text = std::make_shared<std::string>();
  auto busy = std::make_shared<Busy>(s);
  std::string head = "links=" + std::to_string(j["chain"].size()) + " chain=" + hex(digest(chain)) + " ";
  ApiResponse r;
  r.headers["Content-Type"] = "application/x-ndjson";
  r.next_chunk = [=, &s](std::string& o) -> ApiResponse::StreamState {
    auto k = (*at)++;
    if (k > n)
      return ApiResponse::StreamState::finished;
    if (fault == "lost" && k == n)
      return ApiResponse::StreamState::aborted;
    if (fault == "cut" && k == n / 2)
      return ApiResponse::StreamState::aborted;
    if (k == n) {
      if (fault == "unsealed")
        return ApiResponse::StreamState::finished;
      o = Json{{"seal", hex(digest(*text))}, {"pieces", n}, {"tokens", n}}.dump() + "\n";
      return ApiResponse::StreamState::more;
    }
    if (s.pace)
      nap(s.pace);
    auto t = k == 0 ? head : "word" + std::to_string(k) + " ";
    *text += t;
    auto m = fault == "skip" && k == n / 2 ? k + 1 : fault == "repeat" && k == n / 2 ? k - 1 : k;
    (void)busy;
    o = Json{{"n", m}, {"text", t}, {"tokens", 1}}.dump() + "\n";
    return ApiResponse::StreamState::more;
  };
  return r;
}

ApiResponse app(Stand& s, const ApiRequest& a) {
  Busy b(s);
  auto fault = s.script.next();
  if (a.method != "GET") {
    auto k = a.headers.find("x-attempt");
    s.ran("app:" + (a.body.empty() && k != a.headers.end() ? k->second : a.body), "app");
  }
  nap(s.pace);
  if (fault == "stall")
    nap(30000);
  ApiResponse r;
  if (fault == "error")
    return ApiResponse::error(500, "broken", "scripted");
  size_t size = a.path.starts_with("/archive") ? 200000 : a.path.starts_with("/tiles") ? 8000 : 200;
  r.body = a.method + " " + a.path + " ";
  for (auto seed = digest(r.body); r.body.size() < size; seed = digest("", seed))
    r.body += hex(seed);
  if (fault != "unsealed")
    r.headers["X-Seal"] = hex(digest(r.body));
  if (fault == "cut" || fault == "lost") {
    auto once = std::make_shared<bool>(false);
    auto part = r.body.substr(0, fault == "lost" ? 0 : r.body.size() / 2);
    r.next_chunk = [=](std::string& o) {
      if (*once)
        return ApiResponse::StreamState::aborted;
      *once = true;
      o = part;
      return o.empty() ? ApiResponse::StreamState::aborted : ApiResponse::StreamState::more;
    };
  }
  return r;
}

ApiResponse control(Stand& s, const ApiRequest& a) {
  ApiResponse r;
  if (a.path == "/control/state") {
    r.body = Json{{"name", s.name}, {"now", s.now.load()}, {"peak", s.peak.load()}}.dump() + "\n";
    return r;
  }
  auto j = Json::parse(a.body, nullptr, false);
  if (!j.is_object())
    return ApiResponse::error(400, "invalid", "body: is no JSON object");
  std::lock_guard l(s.script.m);
  s.script.fault = j.value("fault", "");
  s.script.left = j.value("left", uint64_t{0});
  s.script.every = std::max<uint64_t>(1, j.value("every", uint64_t{1}));
  r.body = "{}\n";
  return r;
}

}  // namespace

int main(int argc, const char** argv) {
  char *at = nullptr, *kind = nullptr, *name = nullptr, *runs = nullptr;
  int pieces = 8, pace = 20, version = 0;
  poptOption table[] = {{"http", 'w', POPT_ARG_STRING, &at, 0, "address for HTTP", "IP:PORT"},
                        {"kind", 'k', POPT_ARG_STRING, &kind, 0, "model or app", "KIND"},
                        {"name", 'n', POPT_ARG_STRING, &name, 0, "the replica's name", "NAME"},
                        {"runs", 'r', POPT_ARG_STRING, &runs, 0, "file that each run is noted in", "FILE"},
                        {"pieces", 'p', POPT_ARG_INT, &pieces, 0, "pieces an answer", "N"},
                        {"pace", 't', POPT_ARG_INT, &pace, 0, "milliseconds between pieces", "MS"},
                        {"version", 'V', POPT_ARG_NONE, &version, 0, "print the version, then exit", nullptr},
                        POPT_AUTOHELP POPT_TABLEEND};
  poptContext c = poptGetContext("replica-sim", argc, argv, table, 0);
  if (int rc = poptGetNextOpt(c); rc < -1)
    return fprintf(stderr, "replica-sim: %s: %s\n", poptBadOption(c, 0), poptStrerror(rc)), 2;
  if (version)
    return printf("replica-sim (mosskeel) %s\n", MOSSKEEL_VERSION), 0;
  if (!at || !kind)
    return fprintf(stderr, "replica-sim: http, kind: are missing\n"), 2;
  start_log("replica-sim");
  hold_signals();
  Stand s;
  s.name = name ? name : at;
  s.kind = kind;
  s.pieces = pieces;
  s.pace = pace;
  if (runs)
    s.runs.open(runs, std::ios::app);
  auto web = HttpServer::open(at, [&](const ApiRequest& a) {
    if (a.path.starts_with("/control/"))
      return control(s, a);
    return s.kind == "model" ? model(s, a) : app(s, a);
  });
  if (!web.ok())
    return fprintf(stderr, "replica-sim: %s\n", to_string(web.errors()).c_str()), 2;
  while (!signalled(1000)) {}
  return 0;
}
