#include "gateway/program_api.hpp"

#include "gateway/program_response_json.hpp"
#include "programs/constants.hpp"
#include "programs/program_request.hpp"
#include "routing/constants.hpp"
#include "runtime/settings.hpp"

namespace mosskeel {
namespace {
using Json = nlohmann::json;

constexpr size_t kMaxKeyBytes = 256;
/// Digits of X-Deadline-Ms: any such number fits into a Duration, and is capped later.
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

/// What all kinds of requests have in common.
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

/// Takes one field of a turn's body; false where it is unknown or of another type.
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

/// Takes a turn's body, and the defaults for what it leaves out.
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

ApiResponse success_response(const ProgramResponse& response) {
  auto json = success_json(response);
  json["output"] = response.body;
  ApiResponse http;
  http.body = json_line(json);
  return http;
}

/// A caller that asked for a stream gets one, also where the response came in one part.
ApiResponse stream_of_one_chunk(const ProgramResponse& response) {
  auto end = success_json(response);
  end["pieces"] = 1;
  ApiResponse http;
  http.headers["Content-Type"] = "application/x-ndjson";
  http.body = json_line(chunk_json({response.attempt, 0, response.body})) + json_line(end);
  return http;
}

ApiResponse stream_response(std::shared_ptr<CallerSession> session, const ProgramResponseChunk& first,
                            const ProgramResponse& timeout) {
  auto stream = std::make_shared<ProgramResponseStream>(std::move(session), first, timeout);
  ApiResponse http;
  http.headers["Content-Type"] = "application/x-ndjson";
  http.next_chunk = [stream](std::string& bytes) {
    return stream->next(bytes);
  };
  return http;
}

ApiResponse unknown_path(const ApiRequest& request) {
  return ApiResponse::error(404, "unknown_path", request.method + " " + request.path + " is nothing here");
}

}  // namespace

ApiResponse ProgramApi::run(ProgramRequest request, Delivery delivery) {
  auto answered_by = process_now() + request_timeout(request) + kOutcomeTransferTimeout;
  auto session = std::make_shared<CallerSession>(mailboxes_, answered_by);

  ProgramResponse lost{};
  lost.attempt = request.attempt;
  lost.status = 504;
  lost.executed = Outcome::unknown;
  lost.reason = "this worker lost sight of the request";
  lost.retry_ms = kDefaultRetryAfter;

  auto view = host_.view();
  Envelope envelope{};
  envelope.from = session->address();
  envelope.cluster = view->cluster;
  envelope.epoch = view->epoch;
  envelope.body = std::move(request);
  host_.post(std::move(envelope));

  while (true) {
    auto message = session->receive();
    if (!message)
      return failure_response(lost);
    const auto* chunk = std::get_if<ProgramResponseChunk>(&*message);
    if (chunk && delivery == Delivery::streamed)
      return stream_response(session, *chunk, lost);
    const auto* response = std::get_if<ProgramResponse>(&*message);
    if (!response)
      continue;
    if (response->status != 200)
      return failure_response(*response);
    return delivery == Delivery::streamed ? stream_of_one_chunk(*response) : success_response(*response);
  }
}

ApiResponse ProgramApi::answer_turn(const ApiRequest& http, const std::string& cell, const std::string& program) {
  Errors errors;
  bool is_streamed = false;
  auto request = read_headers(http, kModelRequest, cell, errors);
  request.program = program;
  read_turn_body(http.body, request, is_streamed, errors);
  if (!errors.empty())
    return ApiResponse::error(400, "invalid", errors);
  return run(std::move(request), is_streamed ? Delivery::streamed : Delivery::complete);
}

ApiResponse ProgramApi::answer_application(const ApiRequest& http, const std::string& cell, const std::string& path) {
  Errors errors;
  auto request = read_headers(http, kApplicationRequest, cell, errors);
  if (!errors.empty())
    return ApiResponse::error(400, "invalid", errors);
  auto route = header(http, "x-route");
  bool only_reads = http.method == "GET" || http.method == "HEAD";
  request.route = route.empty() ? "app" : route;
  request.method = http.method == "HEAD" ? "GET" : http.method;
  request.path = path;
  request.body = http.body;
  request.idempotent = only_reads || header(http, "x-repeatable") == "yes";
  auto response = run(std::move(request), Delivery::complete);
  if (response.status != 200)
    return response;
  response.body = Json::parse(response.body, nullptr, false)["output"].get<std::string>();
  response.headers["Content-Type"] = "application/octet-stream";
  return response;
}

ApiResponse ProgramApi::answer_history(const ApiRequest& http, const std::string& cell, const std::string& program) {
  Errors errors;
  auto request = read_headers(http, kHistoryRequest, cell, errors);
  if (!errors.empty())
    return ApiResponse::error(400, "invalid", errors);
  request.program = program;
  auto response = run(std::move(request), Delivery::complete);
  if (response.status == 200)
    response.body = Json::parse(response.body)["output"].get<std::string>() + "\n";
  return response;
}

ApiResponse ProgramApi::answer_readiness() {
  bool is_ready = false;
  host_.ask([&](StateMachine& machine, TimePoint now) { is_ready = static_cast<GatewayMachine&>(machine).ready(now); });
  if (!is_ready)
    return ApiResponse::error(503, "not_ready", "this worker is not ready", kDefaultRetryAfter);
  ApiResponse response;
  response.body = "{\"ready\":true}\n";
  return response;
}

/// `/v1/cells/CELL/app/PATH`, `/v1/cells/CELL/programs/PROGRAM` and `/v1/cells/CELL/programs/PROGRAM/turns`.
ApiResponse ProgramApi::answer_cell(const ApiRequest& request) {
  const std::string cells = "/v1/cells/";
  const std::string application = "/app";
  const std::string programs = "/programs/";
  auto in_cells = request.path.substr(cells.size());
  auto cell_end = in_cells.find('/');
  if (cell_end == std::string::npos)
    return unknown_path(request);
  auto cell = in_cells.substr(0, cell_end);
  auto in_cell = in_cells.substr(cell_end);
  if (in_cell.starts_with(application + "/"))
    return answer_application(request, cell, in_cell.substr(application.size()));
  if (!in_cell.starts_with(programs))
    return unknown_path(request);
  auto in_programs = in_cell.substr(programs.size());
  auto program_end = in_programs.find('/');
  auto program = in_programs.substr(0, program_end);
  auto in_program = program_end == std::string::npos ? "" : in_programs.substr(program_end);
  if (!program.empty() && in_program == "/turns" && request.method == "POST")
    return answer_turn(request, cell, program);
  if (!program.empty() && in_program.empty() && request.method == "GET")
    return answer_history(request, cell, program);
  return unknown_path(request);
}

ApiResponse ProgramApi::answer(const ApiRequest& request) {
  if (request.path == "/metrics")
    return answer_metrics();
  if (request.path == "/ready")
    return answer_readiness();
  if (request.path.starts_with("/v1/cells/"))
    return answer_cell(request);
  return unknown_path(request);
}

}  // namespace mosskeel
