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

/// The host named by the value of a Host field, in lower case and without port; nothing where the value is malformed.
std::optional<std::string> parse_host(std::string_view value);

/// Whether one of the comma-separated lists under this field name contains the token; case does not matter.
bool has_token(const HeaderFields& fields, std::string_view name, std::string_view token);

/// The fields without the hop-by-hop ones, which belong to one connection, and without Content-Length.
HeaderFields end_to_end_fields(const HeaderFields& fields);

/// Whether the field can be written into a head without changing its framing.
bool is_valid_field(const HeaderField& field);

bool equals_ignoring_case(std::string_view left, std::string_view right);

/// Without spaces and tabs at both ends.
std::string_view trim_whitespace(std::string_view text);

/// Cuts the first element of a comma-separated list off `list` and returns it without surrounding whitespace.
std::string_view next_list_element(std::string_view& list);

}  // namespace mosskeel
