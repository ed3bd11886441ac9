#pragma once
// The grammar of HTTP/1.1: tokens, the lines of a head, lists and the value of a Host field (RFC 9110, RFC 9112).
#include <optional>
#include <string>
#include <string_view>

namespace mosskeel {

bool equals_ignoring_case(std::string_view left, std::string_view right);

/// Removes spaces and tabs from both ends.
std::string_view trim_whitespace(std::string_view text);

/// Removes the first element from the comma-separated `list` and returns it without surrounding whitespace.
std::string_view next_list_element(std::string_view& list);

/// Whether the text is a valid method or field name.
bool is_http_token(std::string_view text);

/// Whether the text is a valid field value: it has no control characters except tabs.
bool is_field_value(std::string_view text);

// These check one line of a head, given without its CRLF.
bool is_field_line(std::string_view line);
/// Accepts only targets in origin form (paths) and only HTTP/1.0 and HTTP/1.1.
bool is_request_line(std::string_view line);
bool is_status_line(std::string_view line);

/// Returns the host from the value of a Host field, in lower case and without the port; no value if it is malformed.
std::optional<std::string> parse_host(std::string_view value);

}  // namespace mosskeel
