#pragma once
// The grammar of HTTP/1.1: tokens, the lines of a head, lists and the value of a Host field (RFC 9110, RFC 9112).
#include <optional>
#include <string>
#include <string_view>

namespace mosskeel {

bool equals_ignoring_case(std::string_view left, std::string_view right);

/// Without spaces and tabs at both ends.
std::string_view trim_whitespace(std::string_view text);

/// Cuts the first element of a comma-separated list off `list` and returns it without surrounding whitespace.
std::string_view next_list_element(std::string_view& list);

/// Whether the text can be a method or the name of a field.
bool is_http_token(std::string_view text);

/// Whether the text can be the value of a field: no control characters but tabs.
bool is_field_value(std::string_view text);

// Whether a line of a head, without its end, is of this kind.
bool is_field_line(std::string_view line);
/// Only targets that are paths, and only HTTP/1.0 and HTTP/1.1.
bool is_request_line(std::string_view line);
bool is_status_line(std::string_view line);

/// The host named by the value of a Host field, in lower case and without port; nothing where the value is malformed.
std::optional<std::string> parse_host(std::string_view value);

}  // namespace mosskeel
