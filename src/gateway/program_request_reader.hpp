#pragma once
// Requests to programs and applications out of HTTP, as docs/http.md tells them.
#include "messages/message.hpp"
#include "net/http_server.hpp"

namespace mosskeel {

/// A turn as its caller asks for it.
struct TurnRequest {
  ProgramRequest request{};
  /// Whether the caller wants the response in chunks as they come.
  bool is_streamed = false;
};

/// Each returns all errors by the name of the header or field where the caller's request can't be understood. The
/// request has an attempt id of its own.
Result<TurnRequest> read_turn_request(const ApiRequest& http, const std::string& cell, const std::string& program);
/// `path` is the one that the application gets. GET and HEAD are idempotent, others where their caller says so.
Result<ProgramRequest> read_application_request(const ApiRequest& http, const std::string& cell,
                                                const std::string& path);
Result<ProgramRequest> read_history_request(const ApiRequest& http, const std::string& cell,
                                            const std::string& program);

}  // namespace mosskeel
