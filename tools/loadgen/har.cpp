#include "har.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "clock.hpp"
#include "load_report.hpp"
#include "net/http_fetch.hpp"

namespace mosskeel::loadgen {
namespace {

using Json = nlohmann::json;

constexpr int kExitDiffers = 1;
constexpr int kExitUnreadable = 2;

/// Headers of the recorded connection, and pseudo-headers of HTTP/2, that a replay makes anew.
bool is_connection_header(std::string name) {
  static const std::set<std::string> names{"host", "connection", "content-length", "transfer-encoding",
                                           "accept-encoding"};
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) { return tolower(letter); });
  return name.empty() || name[0] == ':' || names.count(name) > 0;
}

bool has_string(const Json& object, const char* field) {
  return object.contains(field) && object[field].is_string();
}

/// Reads one entry of an archive and collects its errors.
class EntryReader {
 public:
  EntryReader(const Json& entry, const std::string& location) : entry_(entry), location_(location) {}

  Result<HarRequest> read() {
    if (!entry_.is_object() || !entry_.contains("request") || !entry_["request"].is_object())
      return Errors{{location_ + ".request", "is missing or no object"}};
    const auto& request = entry_["request"];
    HarRequest result;
    result.method = read_string(request, "method");
    result.path = read_path(read_string(request, "url"));
    result.headers = read_headers(request);
    if (request.contains("postData") && request["postData"].is_object() && has_string(request["postData"], "text"))
      result.body = request["postData"]["text"];
    result.expected_status = read_status();
    if (!errors_.empty())
      return errors_;
    return result;
  }

 private:
  void add_error(const std::string& field, const std::string& message) {
    errors_.push_back({location_ + ".request." + field, message});
  }

  std::string read_string(const Json& request, const char* field) {
    if (has_string(request, field))
      return request[field];
    add_error(field, "is missing or no string");
    return "";
  }

  std::string read_path(const std::string& url) {
    if (!url.empty() && !url.starts_with("http://") && !url.starts_with("https://"))
      add_error("url", "is no http address");
    auto scheme_end = url.find("://");
    if (scheme_end == std::string::npos)
      return "/";
    auto path = url.find('/', scheme_end + 3);
    if (path == std::string::npos)
      return "/";
    return url.substr(path, url.find('#', path) - path);
  }

  std::map<std::string, std::string> read_headers(const Json& request) {
    std::map<std::string, std::string> headers;
    if (!request.contains("headers"))
      return headers;
    if (!request["headers"].is_array()) {
      add_error("headers", "is no list");
      return headers;
    }
    size_t index = 0;
    for (const auto& header : request["headers"]) {
      if (!header.is_object() || !has_string(header, "name") || !has_string(header, "value"))
        add_error("headers[" + std::to_string(index) + "]", "lacks a name or a value");
      else if (!is_connection_header(header["name"]))
        headers[header["name"]] = header["value"];
      ++index;
    }
    return headers;
  }

  int read_status() {
    if (!entry_.contains("response") || !entry_["response"].is_object())
      return 0;
    const auto& response = entry_["response"];
    if (!response.contains("status") || !response["status"].is_number_integer())
      return 0;
    return response["status"];
  }

  const Json& entry_;
  std::string location_;
  Errors errors_;
};

Result<std::string> read_text(const std::string& file) {
  std::ifstream stream(file);
  std::stringstream text;
  text << stream.rdbuf();
  if (!stream)
    return Errors{{file, "cannot be read"}};
  return text.str();
}

/// Sends one request; whether the answer is as recorded.
bool replay(const HarRequest& recorded, const Address& gateway, LoadReport& report) {
  FetchRequest request;
  request.method = recorded.method;
  request.url = "http://" + gateway + recorded.path;
  request.headers = recorded.headers;
  request.body = recorded.body;
  auto begun = clock_ms();
  auto response = http_fetch(request);
  report.add_latency("replayed", clock_ms() - begun);
  report.count("status " + std::to_string(response.status));
  if (response.complete && (!recorded.expected_status || response.status == recorded.expected_status))
    return true;
  printf("%s %s: status %ld, recorded %d%s%s\n", recorded.method.c_str(), recorded.path.c_str(), response.status,
         recorded.expected_status, response.error.empty() ? "" : ", ", response.error.c_str());
  return false;
}

int print_errors(const std::string& prefix, const Errors& errors) {
  for (const auto& error : errors)
    fprintf(stderr, "loadgen: %s%s: %s\n", prefix.c_str(), error.location.c_str(), error.message.c_str());
  return kExitUnreadable;
}

}  // namespace

Result<std::vector<HarRequest>> read_har(const std::string& text) {
  Json archive;
  try {
    archive = Json::parse(text);
  } catch (const Json::parse_error& error) {
    return Errors{{"byte " + std::to_string(error.byte), "the file is no whole JSON"}};
  }
  if (!archive.is_object() || !archive.contains("log") || !archive["log"].is_object() ||
      !archive["log"].contains("entries") || !archive["log"]["entries"].is_array())
    return Errors{{"log.entries", "is missing or no list"}};
  std::vector<HarRequest> requests;
  Errors errors;
  size_t index = 0;
  for (const auto& entry : archive["log"]["entries"]) {
    auto request = EntryReader(entry, "log.entries[" + std::to_string(index) + "]").read();
    if (request.ok())
      requests.push_back(std::move(request).value());
    else
      errors.insert(errors.end(), request.errors().begin(), request.errors().end());
    ++index;
  }
  if (!errors.empty())
    return errors;
  return requests;
}

int replay_har(const std::string& file, const Address& gateway, ReplayScope scope) {
  auto text = read_text(file);
  if (!text.ok())
    return print_errors("", text.errors());
  auto requests = read_har(text.value());
  if (!requests.ok())
    return print_errors(file + ": ", requests.errors());
  LoadReport report;
  bool differs = false;
  for (const auto& request : requests.value()) {
    bool is_safe = request.method == "GET" || request.method == "HEAD";
    if (scope == ReplayScope::safe_methods && !is_safe)
      report.count("left out, not repeatable");
    else if (!replay(request, gateway, report))
      differs = true;
  }
  fputs(report.as_text().c_str(), stdout);
  return differs ? kExitDiffers : 0;
}

}  // namespace mosskeel::loadgen
