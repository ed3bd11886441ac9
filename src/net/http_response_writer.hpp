#pragma once
// Serializes responses as HTTP/1.1.
#include "net/http_head.hpp"

namespace mosskeel {

/// Writes the head and body of a sequence of responses, framed as each request allows. It does not use a socket.
class HttpResponseWriter {
 public:
  /// Starts the response to the next request.
  /// @param http_1_0 the caller does not support the chunked coding: a body of unknown length ends when the connection
  /// is closed.
  /// @param is_head_method the response to a HEAD request has the same head as for GET, but no body.
  void begin(bool http_1_0, bool is_head_method);
  bool head_written() const { return head_written_; }
  /// Appends the head to `out`. Omits hop-by-hop fields and fields that would break the framing.
  /// @param content_length if absent, the body is chunked.
  void write_head(uint32_t status, const HeaderFields& fields, std::optional<uint64_t> content_length, bool keep_alive,
                  std::string& out);
  /// Appends bytes of the body to `out`; does nothing if the response has no body.
  /// @return false if the body would exceed its Content-Length.
  bool write_body(std::string_view bytes, std::string& out);
  /// Appends the end of the body to `out`.
  /// @return false if the response is incomplete: its head is missing or its body is too short.
  bool write_end(std::string& out);

 private:
  bool http_1_0_ = false;
  bool without_body_ = false;
  bool head_written_ = false;
  bool chunked_ = false;
  /// Remaining bytes of a body with a Content-Length.
  std::optional<uint64_t> body_remaining_;
};

}  // namespace mosskeel
