#include "har.hpp"

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "load.hpp"
#include "net/http_fetch.hpp"

namespace mosskeel::loadgen {
using Json = nlohmann::json;

namespace {

bool hop(std::string n) {
  for (auto& c : n)
    c = static_cast<char>(tolower(c));
  return n.empty() || n[0] == ':' || n == "host" || n == "connection" || n == "content-length" ||
         n == "transfer-encoding" || n == "accept-encoding";
}

void read_entry(const Json& e, const std::string& at, std::vector<HarRequest>& v, Errors& f) {
  HarRequest x;
  auto before = f.size();
  auto r = e.is_object() && e.contains("request") ? e["request"] : Json();
  if (!r.is_object())
    return f.push_back({at + ".request", "is missing or no object"});
  auto text = [&](const char* k) -> std::string {
    if (r.contains(k) && r[k].is_string())
      return r[k];
    f.push_back({at + ".request." + k, "is missing or no string"});
    return "";
  };
  x.method = text("method");
  auto url = text("url");
  auto host = url.find("://");
  auto path = host == std::string::npos ? host : url.find('/', host + 3);
  if (!url.empty() && !url.starts_with("http://") && !url.starts_with("https://"))
    f.push_back({at + ".request.url", "is no http address"});
  x.path = path == std::string::npos ? "/" : url.substr(path, url.find('#', path) - path);
  if (r.contains("headers") && !r["headers"].is_array())
    f.push_back({at + ".request.headers", "is no list"});
  else if (r.contains("headers"))
    for (size_t i = 0; i < r["headers"].size(); ++i) {
      auto& h = r["headers"][i];
      if (!h.is_object() || !h.contains("name") || !h.contains("value") || !h["name"].is_string() ||
          !h["value"].is_string())
        f.push_back({at + ".request.headers[" + std::to_string(i) + "]", "lacks a name or a value"});
      else if (!hop(h["name"]))
        x.headers[h["name"]] = h["value"];
    }
  if (r.contains("postData") && r["postData"].is_object() && r["postData"].contains("text") &&
      r["postData"]["text"].is_string())
    x.body = r["postData"]["text"];
  if (e.contains("response") && e["response"].is_object() && e["response"].contains("status") &&
      e["response"]["status"].is_number_integer())
    x.expected = e["response"]["status"];
  if (f.size() == before)
    v.push_back(std::move(x));
}

}  // namespace

Result<std::vector<HarRequest>> read_har(const std::string& text) {
  Json j;
  try {
    j = Json::parse(text);
  } catch (const Json::parse_error& e) {
    return Errors{{"byte " + std::to_string(e.byte), "the file is no whole JSON"}};
  }
  if (!j.is_object() || !j.contains("log") || !j["log"].is_object() || !j["log"].contains("entries") ||
      !j["log"]["entries"].is_array())
    return Errors{{"log.entries", "is missing or no list"}};
  std::vector<HarRequest> v;
  Errors f;
  for (size_t i = 0; i < j["log"]["entries"].size(); ++i)
    read_entry(j["log"]["entries"][i], "log.entries[" + std::to_string(i) + "]", v, f);
  if (!f.empty())
    return f;
  return v;
}

int replay_har(const std::string& file, const Address& to, bool all) {
  std::ifstream s(file);
  std::stringstream t;
  t << s.rdbuf();
  if (!s)
    return fprintf(stderr, "loadgen: %s: cannot be read\n", file.c_str()), 2;
  auto r = read_har(t.str());
  if (!r.ok()) {
    for (auto& f : r.errors())
      fprintf(stderr, "loadgen: %s: %s: %s\n", file.c_str(), f.location.c_str(), f.message.c_str());
    return 2;
  }
  Book book;
  size_t other = 0;
  for (auto& x : r.value()) {
    if (!all && x.method != "GET" && x.method != "HEAD") {
      book.count("left out, not repeatable");
      continue;
    }
    FetchRequest a;
    a.method = x.method;
    a.url = "http://" + to + x.path;
    a.headers = x.headers;
    a.body = x.body;
    auto begun = clock_ms();
    auto w = http_fetch(a);
    book.time("replayed", clock_ms() - begun);
    book.count("status " + std::to_string(w.status));
    if (!w.complete || (x.expected && w.status != x.expected)) {
      ++other;
      printf("%s %s: status %ld, recorded %d%s%s\n", x.method.c_str(), x.path.c_str(), w.status, x.expected,
             w.error.empty() ? "" : ", ", w.error.c_str());
    }
  }
  fputs(book.text().c_str(), stdout);
  return other ? 1 : 0;
}

}  // namespace mosskeel::loadgen
