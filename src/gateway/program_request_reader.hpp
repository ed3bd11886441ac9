#pragma once
// Parses HTTP requests to programs and applications; see docs/http.md.
#include "messages/message.hpp"
#include "net/http_server.hpp"

namespace mosskeel {

/// A request for a turn, as sent by the caller.
struct TurnRequest {
  ProgramRequest request{};
  /// Whether the caller wants the response streamed in chunks.
  bool is_streamed = false;
};

/// These functions parse one kind of request each and give it a new attempt id. If parsing fails, they return all
/// errors by the name of the header or field.
Result<TurnRequest> read_turn_request(const ApiRequest& http, const std::string& cell, const std::string& program);
/// `path` is the path passed to the application. GET and HEAD requests are idempotent; others only if the caller says
/// so.
Result<ProgramRequest> read_application_request(const ApiRequest& http, const std::string& cell,
                                                const std::string& path);
Result<ProgramRequest> read_history_request(const ApiRequest& http, const std::string& cell,
                                            const std::string& program);

}  // namespace mosskeel
