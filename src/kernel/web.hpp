#pragma once
// One HTTP ask from a tool, by libcurl, on a fresh session.
#include "mosskeel.hpp"

namespace mosskeel {

struct WebAsk {
  std::string method = "GET", url, body;
  std::map<std::string, std::string> headers;
  long deadline_ms = 15000;
  /// Called with the bytes as they come; empty keeps them in the answer.
  std::function<void(const std::string&)> on_bytes;
};
struct WebAnswer {
  long status = 0;
  std::string body, error;
  std::map<std::string, std::string> headers;
  bool whole = false, sent = false;
};
WebAnswer web(const WebAsk& a);

}  // namespace mosskeel
