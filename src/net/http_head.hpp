#pragma once
// A strict parser for HTTP/1.1 message heads. It rejects everything that two parsers might frame differently, which
// prevents request smuggling (RFC 9112, section 11.2).
#include <string_view>

#include "net/protocol_codec.hpp"

namespace mosskeel {

enum class HeadScan { incomplete, complete, malformed };

/// Looks for the empty line that ends a head.
/// @param received the bytes of the message received so far.
/// @param scanned in: the offset where the previous scan of this message ended, initially 0; out: the offset where this
/// scan ended, which is after the empty line once the head is complete.
HeadScan scan_head(std::string_view received, size_t& scanned);

/// A parsed head and the framing of the body that follows.
struct HttpHead {
  /// Requests only.
  std::string method, target;
  /// Responses only.
  uint32_t status = 0;
  bool http_1_0 = false;
  /// Whether the body uses the chunked transfer coding.
  bool chunked = false;
  /// Whether the connection closes after this message.
  bool closes_connection = false;
  std::optional<uint64_t> content_length;
  HeaderFields fields;
  /// Status and reason to reject the message with; the status is 0 if the head is valid.
  uint32_t rejection_status = 0;
  std::string rejection_reason;
};

/// @param head a complete head with its empty line.
HttpHead parse_request_head(std::string_view head);
HttpHead parse_response_head(std::string_view head);

}  // namespace mosskeel
