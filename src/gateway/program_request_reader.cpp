#include "gateway/program_request_reader.hpp"

#include <nlohmann/json.hpp>

#include "programs/program_request.hpp"
#include "runtime/settings.hpp"

namespace mosskeel {
namespace {
using Json = nlohmann::json;

constexpr size_t kMaxKeyBytes = 256;
/// Maximum digits of X-Deadline-Ms: any such number fits into a Duration; its value is capped later.
constexpr size_t kMaxDeadlineDigits = 9;
constexpr uint64_t kMaxExpectedTurns = 1000000;

std::string header(const ApiRequest& request, const char* name) {
  auto found = request.headers.find(name);
  return found == request.headers.end() ? "" : found->second;
}

void read_key(const ApiRequest& http, ProgramRequest& request, Errors& errors) {
  request.key = header(http, "idempotency-key");
  if (request.key.size() > kMaxKeyBytes)
    errors.push_back({"Idempotency-Key", "is longer than 256 bytes"});
}

void read_deadline(const ApiRequest& http, ProgramRequest& request, Errors& errors) {
  auto deadline = header(http, "x-deadline-ms");
  if (deadline.empty())
    return;
  bool is_number = deadline.find_first_not_of("0123456789") == std::string::npos;
  if (deadline.size() > kMaxDeadlineDigits || !is_number)
    errors.push_back({"X-Deadline-Ms", "is no number of milliseconds"});
  else
    request.deadline_ms = std::stoll(deadline);
}

void read_class(const ApiRequest& http, ProgramRequest& request, Errors& errors) {
  auto priority = header(http, "x-class");
  request.urgent = priority == "urgent";
  request.bulk = priority == "bulk";
  bool is_known = request.urgent || request.bulk || priority.empty() || priority == "normal";
  if (!is_known)
    errors.push_back({"X-Class", "is none of urgent, normal, bulk"});
}

/// Reads the headers that all kinds of requests share.
ProgramRequest read_headers(const ApiRequest& http, std::string_view kind, const std::string& cell, Errors& errors) {
  ProgramRequest request{};
  request.kind = kind;
  request.cell = cell;
  read_key(http, request, errors);
  read_deadline(http, request, errors);
  read_class(http, request, errors);
  request.attempt = "a" + hex(random_number());
  return request;
}

/// Reads one field of a turn's body. Returns false if the field is unknown or its value is invalid.
bool read_turn_field(const std::string& name, const Json& value, ProgramRequest& request, bool& is_streamed) {
  const std::map<std::string, std::string*> texts{
      {"input", &request.body}, {"prefix", &request.prefix}, {"thread", &request.thread}, {"route", &request.route}};
  if (auto text = texts.find(name); text != texts.end() && value.is_string()) {
    *text->second = value.get<std::string>();
  } else if (name == "max_tokens" && value.is_number_unsigned()) {
    request.max_tokens = value.get<uint64_t>();
  } else if (name == "after" && value.is_number_unsigned() && value.get<uint64_t>() < kMaxExpectedTurns) {
    request.expected_turns = value.get<uint32_t>();
  } else if (name == "stream" && value.is_boolean()) {
    is_streamed = value.get<bool>();
  } else {
    return false;
  }
  return true;
}

/// Reads a turn's body and fills in defaults for missing fields.
void read_turn_body(const std::string& body, ProgramRequest& request, bool& is_streamed, Errors& errors) {
  auto json = Json::parse(body, nullptr, false);
  if (json.is_object()) {
    for (const auto& [name, value] : json.items()) {
      if (!read_turn_field(name, value, request, is_streamed))
        errors.push_back({name, "is not known here or of another type"});
    }
    if (!json.contains("input"))
      errors.push_back({"input", "is missing"});
  } else {
    errors.push_back({"body", "is no JSON object"});
  }
  if (request.thread.empty())
    request.thread = "main";
  if (request.route.empty())
    request.route = "chat";
}

}  // namespace

Result<TurnRequest> read_turn_request(const ApiRequest& http, const std::string& cell, const std::string& program) {
  Errors errors;
  TurnRequest turn;
  turn.request = read_headers(http, kModelRequest, cell, errors);
  turn.request.program = program;
  read_turn_body(http.body, turn.request, turn.is_streamed, errors);
  if (!errors.empty())
    return errors;
  return turn;
}

Result<ProgramRequest> read_application_request(const ApiRequest& http, const std::string& cell,
                                                const std::string& path) {
  Errors errors;
  auto request = read_headers(http, kApplicationRequest, cell, errors);
  if (!errors.empty())
    return errors;
  auto route = header(http, "x-route");
  bool only_reads = http.method == "GET" || http.method == "HEAD";
  request.route = route.empty() ? "app" : route;
  request.method = http.method == "HEAD" ? "GET" : http.method;
  request.path = path;
  request.body = http.body;
  request.idempotent = only_reads || header(http, "x-repeatable") == "yes";
  return request;
}

Result<ProgramRequest> read_history_request(const ApiRequest& http, const std::string& cell,
                                            const std::string& program) {
  Errors errors;
  auto request = read_headers(http, kHistoryRequest, cell, errors);
  if (!errors.empty())
    return errors;
  request.program = program;
  return request;
}

}  // namespace mosskeel
