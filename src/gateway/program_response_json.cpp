#include "gateway/program_response_json.hpp"

namespace mosskeel {
namespace {

constexpr uint32_t kMillisPerSecond = 1000;

const char* error_name(const ProgramResponse& response) {
  if (response.status == 410)
    return "ended";
  if (response.executed == Outcome::unknown)
    return "outcome_unknown";
  switch (response.status) {
    case 400:
      return "invalid";
    case 404:
      return "unknown_or_missing";
    case 409:
      return "conflict";
    case 413:
      return "too_long";
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

const char* executed_name(Outcome executed) {
  switch (executed) {
    case Outcome::yes:
      return "yes";
    case Outcome::no:
      return "no";
    default:
      return "unknown";
  }
}

}  // namespace

std::string json_line(const nlohmann::json& json) {
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

nlohmann::json chunk_json(const ProgramResponseChunk& chunk) {
  return {{"n", chunk.index}, {"text", chunk.text}};
}

nlohmann::json success_json(const ProgramResponse& response) {
  return {{"done", true}, {"turn", response.turn}, {"tokens", response.tokens}, {"pieces", response.chunks}};
}

nlohmann::json failure_json(const ProgramResponse& response) {
  nlohmann::json json{
      {"error", error_name(response)}, {"reason", response.reason}, {"ran", executed_name(response.executed)}};
  if (response.retry_ms)
    json["retry_after_ms"] = response.retry_ms;
  return json;
}

ApiResponse failure_response(const ProgramResponse& response) {
  ApiResponse http;
  http.status = response.status;
  http.body = json_line(failure_json(response));
  if (response.retry_ms) {
    auto seconds_rounded_up = (response.retry_ms + kMillisPerSecond - 1) / kMillisPerSecond;
    http.headers["Retry-After"] = std::to_string(seconds_rounded_up);
  }
  return http;
}

}  // namespace mosskeel
