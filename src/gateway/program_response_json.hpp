#pragma once
// Responses to callers of programs as JSON and HTTP, as docs/http.md tells them.
#include <nlohmann/json.hpp>

#include "messages/message.hpp"
#include "net/http_server.hpp"

namespace mosskeel {

/// The object on one line; bytes that are no UTF-8 are replaced.
std::string json_line(const nlohmann::json& json);
nlohmann::json chunk_json(const ProgramResponseChunk& chunk);
/// How a request ended that succeeded, without its output.
nlohmann::json success_json(const ProgramResponse& response);
/// Why a request failed and whether it may have run.
nlohmann::json failure_json(const ProgramResponse& response);
/// A response that has no body but `failure_json`.
ApiResponse failure_response(const ProgramResponse& response);

}  // namespace mosskeel
