#pragma once
// Single HTTP requests of the tools, by libcurl.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// What to send, and how to receive the response.
struct FetchRequest {
  std::string method = "GET", url, body;
  std::map<std::string, std::string> headers;
  /// How long the whole exchange may take.
  Duration timeout = 15000ms;
  /// Called with the body's bytes as they come; the response has them too.
  std::function<void(const std::string& bytes)> on_body;
};

struct FetchResponse {
  /// 0 where no head was received.
  long status = 0;
  std::string body;
  /// What went wrong; empty where the response is complete.
  std::string error;
  /// Names in lower case.
  std::map<std::string, std::string> headers;
  bool complete = false;
  /// Whether any byte of the request may have reached the server.
  bool request_sent = false;
};

/// Sends the request on a connection of its own and waits for the response.
FetchResponse http_fetch(const FetchRequest& request);

}  // namespace mosskeel
