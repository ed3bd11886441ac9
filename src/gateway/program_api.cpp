#include "gateway/program_api.hpp"

#include "gateway/program_request_reader.hpp"
#include "gateway/program_response_json.hpp"
#include "programs/program_request.hpp"
#include "routing/constants.hpp"
#include "runtime/constants.hpp"

namespace mosskeel {
namespace {
using Json = nlohmann::json;

ApiResponse success_response(const ProgramResponse& response) {
  auto json = success_json(response);
  json["output"] = response.body;
  ApiResponse http;
  http.body = json_line(json);
  return http;
}

/// Used if the caller asked for a stream, but the response arrived in one piece.
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

/// The response for a request that was posted to the state machine, but never got a reply.
ProgramResponse outcome_unknown_response(const std::string& attempt) {
  ProgramResponse response{};
  response.attempt = attempt;
  response.status = 504;
  response.executed = Outcome::unknown;
  response.reason = "this gateway lost sight of the request";
  response.retry_ms = static_cast<uint32_t>(kDefaultRetryAfter.count());
  return response;
}

/// The response for a request that arrived after the state machine had stopped.
ProgramResponse stopped_response(const std::string& attempt) {
  ProgramResponse response{};
  response.attempt = attempt;
  response.status = 503;
  response.executed = Outcome::no;
  response.reason = "this gateway has stopped";
  response.retry_ms = static_cast<uint32_t>(kDefaultRetryAfter.count());
  return response;
}

ApiResponse unknown_path(const ApiRequest& request) {
  return ApiResponse::error(404, "unknown_path", request.method + " " + request.path + " is nothing here");
}

}  // namespace

ApiResponse ProgramApi::run(ProgramRequest request, Delivery delivery) {
  auto reply_deadline = process_now() + request_timeout(request) + kOutcomeTransferTimeout;
  auto session = std::make_shared<CallerSession>(mailboxes_, reply_deadline);
  auto attempt = request.attempt;
  auto outcome_unknown = outcome_unknown_response(attempt);

  auto view = host_.view();
  Envelope envelope{};
  envelope.from = session->address();
  envelope.cluster = view->cluster;
  envelope.epoch = view->epoch;
  envelope.body = std::move(request);
  if (!host_.post(std::move(envelope)))
    return failure_response(stopped_response(attempt));

  while (true) {
    auto message = session->receive();
    if (!message)
      return failure_response(outcome_unknown);
    const auto* chunk = std::get_if<ProgramResponseChunk>(&*message);
    if (chunk && delivery == Delivery::streamed)
      return stream_response(session, *chunk, outcome_unknown);
    const auto* response = std::get_if<ProgramResponse>(&*message);
    if (!response)
      continue;
    if (response->status != 200)
      return failure_response(*response);
    return delivery == Delivery::streamed ? stream_of_one_chunk(*response) : success_response(*response);
  }
}

ApiResponse ProgramApi::answer_turn(const ApiRequest& http, const std::string& cell, const std::string& program) {
  auto turn = read_turn_request(http, cell, program);
  if (!turn.ok())
    return ApiResponse::error(400, "invalid", turn.errors());
  auto delivery = turn.value().is_streamed ? Delivery::streamed : Delivery::complete;
  return run(std::move(turn.value().request), delivery);
}

ApiResponse ProgramApi::answer_application(const ApiRequest& http, const std::string& cell, const std::string& path) {
  auto request = read_application_request(http, cell, path);
  if (!request.ok())
    return ApiResponse::error(400, "invalid", request.errors());
  auto response = run(std::move(request.value()), Delivery::complete);
  if (response.status != 200)
    return response;
  response.body = Json::parse(response.body, nullptr, false)["output"].get<std::string>();
  response.headers["Content-Type"] = "application/octet-stream";
  return response;
}

ApiResponse ProgramApi::answer_history(const ApiRequest& http, const std::string& cell, const std::string& program) {
  auto request = read_history_request(http, cell, program);
  if (!request.ok())
    return ApiResponse::error(400, "invalid", request.errors());
  auto response = run(std::move(request.value()), Delivery::complete);
  if (response.status == 200)
    response.body = Json::parse(response.body)["output"].get<std::string>() + "\n";
  return response;
}

ApiResponse ProgramApi::answer_readiness() {
  bool is_ready = false;
  host_.ask([&](StateMachine& machine, TimePoint now) { is_ready = static_cast<GatewayMachine&>(machine).ready(now); });
  if (!is_ready)
    return ApiResponse::error(503, "not_ready", "this gateway is not ready", kDefaultRetryAfter);
  ApiResponse response;
  response.body = "{\"ready\":true}\n";
  return response;
}

/// Routes `/v1/cells/CELL/app/PATH`, `/v1/cells/CELL/programs/PROGRAM` and `/v1/cells/CELL/programs/PROGRAM/turns`.
ApiResponse ProgramApi::answer_cell(const ApiRequest& request) {
  const std::string cells = "/v1/cells/";
  const std::string application = "/app";
  const std::string programs = "/programs/";
  auto below_cells = request.path.substr(cells.size());
  auto cell_end = below_cells.find('/');
  if (cell_end == std::string::npos)
    return unknown_path(request);
  auto cell = below_cells.substr(0, cell_end);
  auto below_cell = below_cells.substr(cell_end);
  if (below_cell.starts_with(application + "/"))
    return answer_application(request, cell, below_cell.substr(application.size()));
  if (!below_cell.starts_with(programs))
    return unknown_path(request);
  auto below_programs = below_cell.substr(programs.size());
  auto program_end = below_programs.find('/');
  auto program = below_programs.substr(0, program_end);
  auto below_program = program_end == std::string::npos ? "" : below_programs.substr(program_end);
  if (!program.empty() && below_program == "/turns" && request.method == "POST")
    return answer_turn(request, cell, program);
  if (!program.empty() && below_program.empty() && request.method == "GET")
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
