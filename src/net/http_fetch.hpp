#pragma once
// One HTTP ask from a tool, by libcurl, on a fresh session.
#include "mosskeel/common.hpp"

namespace mosskeel {

struct FetchRequest {
  std::string method = "GET", url, body;
  std::map<std::string, std::string> headers;
  long timeout_ms = 15000;
  /// Called with the bytes as they come; empty keeps them in the answer.
  std::function<void(const std::string&)> on_body;
};
struct FetchResponse {
  long status = 0;
  std::string body, error;
  std::map<std::string, std::string> headers;
  bool complete = false, request_sent = false;
};
FetchResponse http_fetch(const FetchRequest& a);

}  // namespace mosskeel
