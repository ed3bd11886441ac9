#pragma once
// Formats responses to callers of programs as JSON and HTTP; see docs/http.md.
#include <nlohmann/json.hpp>

#include "messages/message.hpp"
#include "net/http_server.hpp"

namespace mosskeel {

/// Serializes the value on one line; invalid UTF-8 is replaced.
std::string json_line(const nlohmann::json& json);
nlohmann::json chunk_json(const ProgramResponseChunk& chunk);
/// The outcome of a successful request, without its output.
nlohmann::json success_json(const ProgramResponse& response);
/// The reason for a failure and whether the request may have run.
nlohmann::json failure_json(const ProgramResponse& response);
/// A response with `failure_json` as its body.
ApiResponse failure_response(const ProgramResponse& response);

}  // namespace mosskeel
