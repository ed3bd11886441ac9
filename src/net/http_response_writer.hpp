#pragma once
// Responses as bytes of HTTP/1.1.
#include "net/http_head.hpp"

namespace mosskeel {

/// Writes the head and the body of one response after the other, framed as their requests allow. It has no socket.
class HttpResponseWriter {
 public:
  /// Begins the response to another request.
  /// @param http_1_0 the caller does not understand the chunked coding: a body of unknown length ends with the
  /// connection.
  /// @param is_head_method the response to HEAD has the head of a GET's, and no body.
  void begin(bool http_1_0, bool is_head_method);
  bool head_written() const { return head_written_; }
  /// Appends the head to `out`; hop-by-hop fields and such that would break the framing are left out.
  /// @param content_length without one the body is chunked.
  void write_head(uint32_t status, const HeaderFields& fields, std::optional<uint64_t> content_length, bool keep_alive,
                  std::string& out);
  /// Appends bytes of the body to `out`; nothing where the response has none.
  /// @return false where the body would exceed its Content-Length.
  bool write_body(std::string_view bytes, std::string& out);
  /// Appends the end of the body to `out`.
  /// @return false where the response can't be complete: it has no head, or too short a body.
  bool write_end(std::string& out);

 private:
  bool http_1_0_ = false;
  bool without_body_ = false;
  bool head_written_ = false;
  bool chunked_ = false;
  /// Bytes of a body with a Content-Length that are still to be written.
  std::optional<uint64_t> body_remaining_;
};

}  // namespace mosskeel
