#include "net/http_syntax.hpp"

#include <algorithm>

namespace mosskeel {
namespace {

char to_lower(char character) {
  return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

bool is_digit(char character) {
  return character >= '0' && character <= '9';
}

bool is_letter(char character) {
  return to_lower(character) >= 'a' && to_lower(character) <= 'z';
}

bool is_token_character(char character) {
  constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
  return is_digit(character) || is_letter(character) || punctuation.find(character) != std::string_view::npos;
}

bool is_target(std::string_view text) {
  return text.starts_with('/') && std::all_of(text.begin(), text.end(), [](char character) {
           return character > 0x20 && character < 0x7f && character != '#';
         });
}

}  // namespace

bool equals_ignoring_case(std::string_view left, std::string_view right) {
  return std::equal(
      left.begin(), left.end(), right.begin(), right.end(),
      [](char left_character, char right_character) { return to_lower(left_character) == to_lower(right_character); });
}

std::string_view trim_whitespace(std::string_view text) {
  constexpr const char* whitespace = " \t";
  auto begin = text.find_first_not_of(whitespace);
  if (begin == std::string_view::npos) {
    return {};
  }
  auto last = text.find_last_not_of(whitespace);
  return text.substr(begin, last - begin + 1);
}

std::string_view next_list_element(std::string_view& list) {
  auto comma = std::min(list.find(','), list.size());
  auto element = list.substr(0, comma);
  list.remove_prefix(std::min(comma + 1, list.size()));
  return trim_whitespace(element);
}

bool is_http_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), is_token_character);
}

bool is_field_value(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char character) {
    auto byte = static_cast<unsigned char>(character);
    return byte == '\t' || (byte >= 0x20 && byte != 0x7f);
  });
}

bool is_field_line(std::string_view line) {
  auto colon = line.find(':');
  return colon != std::string_view::npos && is_http_token(line.substr(0, colon)) &&
         is_field_value(line.substr(colon + 1));
}

bool is_request_line(std::string_view line) {
  auto first_space = line.find(' ');
  auto last_space = line.rfind(' ');
  if (first_space == std::string_view::npos || first_space == last_space) {
    return false;
  }
  auto method = line.substr(0, first_space);
  auto target = line.substr(first_space + 1, last_space - first_space - 1);
  auto version = line.substr(last_space + 1);
  return is_http_token(method) && is_target(target) && (version == "HTTP/1.1" || version == "HTTP/1.0");
}

bool is_status_line(std::string_view line) {
  constexpr size_t status_at = 9;
  constexpr size_t status_end = status_at + 3;
  if (!line.starts_with("HTTP/1.1 ") && !line.starts_with("HTTP/1.0 ")) {
    return false;
  }
  if (line.size() < status_end || !is_field_value(line)) {
    return false;
  }
  bool known_class = line[status_at] >= '1' && line[status_at] <= '5';
  return known_class && (line.size() == status_end || line[status_end] == ' ');
}

std::optional<std::string> parse_host(std::string_view value) {
  auto port = value.rfind(':');
  auto bracket = value.rfind(']');
  bool colon_of_ipv6_literal = bracket != std::string_view::npos && port != std::string_view::npos && port < bracket;
  if (port != std::string_view::npos && !colon_of_ipv6_literal) {
    if (!std::all_of(value.begin() + static_cast<ptrdiff_t>(port) + 1, value.end(), is_digit)) {
      return std::nullopt;
    }
    value = value.substr(0, port);
  }
  constexpr std::string_view forbidden = "/@,?#\\\"<>";
  std::string host;
  for (char character : value) {
    bool printable = character > 0x20 && character < 0x7f;
    if (!printable || forbidden.find(character) != std::string_view::npos) {
      return std::nullopt;
    }
    host += to_lower(character);
  }
  return host;
}

}  // namespace mosskeel
