#pragma once
// A blocking HTTP client for command-line tools, based on libcurl.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// A request and the options for receiving its response.
struct FetchRequest {
  std::string method = "GET", url, body;
  std::map<std::string, std::string> headers;
  /// Timeout for the whole exchange.
  Duration timeout = 15000ms;
  /// Called with each piece of the body as it arrives; `FetchResponse::body` contains the bytes as well.
  std::function<void(const std::string& bytes)> on_body;
};

struct FetchResponse {
  /// 0 if no response head was received.
  long status = 0;
  std::string body;
  /// Error message; empty if the response is complete.
  std::string error;
  /// Names in lower case.
  std::map<std::string, std::string> headers;
  bool complete = false;
  /// Whether any byte of the request may have reached the server.
  bool request_sent = false;
};

/// Sends the request on a new connection and waits for the response.
FetchResponse http_fetch(const FetchRequest& request);

}  // namespace mosskeel
