#pragma once
// HTTP/1.1 message heads, parsed strictly: whatever two parsers might frame differently is rejected, so that no request
// can be smuggled past this tier (RFC 9112, section 11.2).
#include <string_view>

#include "net/protocol_codec.hpp"

namespace mosskeel {

enum class HeadScan { incomplete, complete, malformed };

/// Looks for the empty line that ends a head.
/// @param received what has arrived of the message so far.
/// @param scanned in: where the last scan of the same message ended, 0 for the first; out: where this one ended, which
///     is behind the empty line once the head is complete.
HeadScan scan_head(std::string_view received, size_t& scanned);

/// A parsed head and how the body behind it is framed.
struct HttpHead {
  /// Of requests alone.
  std::string method, target;
  /// Of responses alone.
  uint32_t status = 0;
  bool http_1_0 = false;
  /// The body is in the chunked transfer coding.
  bool chunked = false;
  /// The connection ends with this message.
  bool closes_connection = false;
  std::optional<uint64_t> content_length;
  HeaderFields fields;
  /// The status to reject a request with, and why; 0 where the head is valid.
  uint32_t rejection_status = 0;
  std::string rejection_reason;
};

/// @param head a complete head with its empty line.
HttpHead parse_request_head(std::string_view head);
HttpHead parse_response_head(std::string_view head);

}  // namespace mosskeel
