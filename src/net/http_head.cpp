#include "net/http_head.hpp"

#include <http_parser.h>

#include <algorithm>

#include "net/http_fields.hpp"
#include "net/http_syntax.hpp"

namespace mosskeel {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
/// A number with this many decimal digits always fits into 64 bits.
constexpr size_t kMaxContentLengthDigits = 18;

/// http_parser is too lenient, so each line is validated first.
bool has_valid_lines(std::string_view head, http_parser_type type) {
  auto is_start_line = type == HTTP_REQUEST ? is_request_line : is_status_line;
  auto is_valid_line = is_start_line;
  while (head.size() > kLineEnd.size()) {
    auto end = head.find(kLineEnd);
    if (!is_valid_line(head.substr(0, end))) {
      return false;
    }
    head.remove_prefix(end + kLineEnd.size());
    is_valid_line = is_field_line;
  }
  return true;
}

/// State that http_parser's callbacks write to.
struct HeadBuilder {
  HttpHead head;
  /// The parser reports names and values in pieces; a name after a value starts a new field.
  bool in_value = true;
  bool complete = false;
};

HeadBuilder& builder_of(http_parser* parser) {
  return *static_cast<HeadBuilder*>(parser->data);
}

int on_url(http_parser* parser, const char* bytes, size_t size) {
  builder_of(parser).head.target.append(bytes, size);
  return 0;
}

int on_field_name(http_parser* parser, const char* bytes, size_t size) {
  auto& builder = builder_of(parser);
  if (std::exchange(builder.in_value, false)) {
    builder.head.fields.emplace_back();
  }
  builder.head.fields.back().name.append(bytes, size);
  return 0;
}

int on_field_value(http_parser* parser, const char* bytes, size_t size) {
  auto& builder = builder_of(parser);
  builder.in_value = true;
  builder.head.fields.back().value.append(bytes, size);
  return 0;
}

int on_head_complete(http_parser* parser) {
  auto& builder = builder_of(parser);
  builder.complete = true;
  builder.head.http_1_0 = parser->http_minor == 0;
  if (parser->type == HTTP_REQUEST) {
    builder.head.method = http_method_str(static_cast<http_method>(parser->method));
  } else {
    builder.head.status = parser->status_code;
  }
  return 0;
}

http_parser_settings make_parser_callbacks() {
  http_parser_settings callbacks;
  http_parser_settings_init(&callbacks);
  callbacks.on_url = on_url;
  callbacks.on_header_field = on_field_name;
  callbacks.on_header_value = on_field_value;
  callbacks.on_headers_complete = on_head_complete;
  return callbacks;
}

HttpHead rejected(HttpHead head, uint32_t status, std::string reason) {
  head.rejection_status = status;
  head.rejection_reason = std::move(reason);
  return head;
}

std::optional<uint64_t> parse_content_length(std::string_view value) {
  bool digits_only = value.find_first_not_of("0123456789") == std::string_view::npos;
  if (value.empty() || value.size() > kMaxContentLengthDigits || !digits_only) {
    return std::nullopt;
  }
  return std::stoull(std::string(value));
}

/// Determines the framing of the body. More than one framing field is treated as a request smuggling attempt.
HttpHead parse_framing(HttpHead head) {
  size_t length_fields = 0;
  size_t coding_fields = 0;
  std::string_view length;
  std::string_view coding;
  for (auto& [name, value] : head.fields) {
    value = std::string(trim_whitespace(value));
    if (equals_ignoring_case(name, "Content-Length")) {
      ++length_fields;
      length = value;
    }
    if (equals_ignoring_case(name, "Transfer-Encoding")) {
      ++coding_fields;
      coding = value;
    }
  }
  if (length_fields + coding_fields > 1) {
    return rejected(std::move(head), 400, "framed twice");
  }
  if (coding_fields && head.http_1_0) {
    return rejected(std::move(head), 400, "transfer coding in HTTP/1.0");
  }
  if (coding_fields && !equals_ignoring_case(coding, "chunked")) {
    return rejected(std::move(head), 501, "transfer coding not known");
  }
  if (length_fields) {
    head.content_length = parse_content_length(length);
    if (!head.content_length) {
      return rejected(std::move(head), 400, "length malformed");
    }
  }
  head.chunked = coding_fields > 0;
  head.closes_connection = head.http_1_0 || has_token(head.fields, "Connection", "close");
  return head;
}

HttpHead parse_head(std::string_view text, http_parser_type type) {
  static const auto callbacks = make_parser_callbacks();
  if (!has_valid_lines(text, type)) {
    return rejected({}, 400, "head malformed");
  }
  HeadBuilder builder;
  http_parser parser;
  http_parser_init(&parser, type);
  parser.data = &builder;
  // Content-Length together with Transfer-Encoding is rejected by parse_framing, with a specific reason.
  parser.allow_chunked_length = 1;
  http_parser_execute(&parser, &callbacks, text.data(), text.size());
  if (!builder.complete) {
    return rejected({}, 400, http_errno_name(HTTP_PARSER_ERRNO(&parser)));
  }
  return parse_framing(std::move(builder.head));
}

}  // namespace

HeadScan scan_head(std::string_view received, size_t& scanned) {
  for (; scanned < received.size(); ++scanned) {
    bool after_carriage_return = scanned > 0 && received[scanned - 1] == '\r';
    if (received[scanned] != '\n') {
      if (after_carriage_return) {
        return HeadScan::malformed;
      }
      continue;
    }
    if (!after_carriage_return) {
      return HeadScan::malformed;
    }
    bool empty_line = scanned >= 3 && received[scanned - 2] == '\n';
    if (empty_line) {
      ++scanned;
      return HeadScan::complete;
    }
  }
  return HeadScan::incomplete;
}

HttpHead parse_request_head(std::string_view text) {
  auto head = parse_head(text, HTTP_REQUEST);
  if (head.rejection_status) {
    return head;
  }
  auto hosts = std::count_if(head.fields.begin(), head.fields.end(),
                             [](const HeaderField& field) { return equals_ignoring_case(field.name, "Host"); });
  if (hosts > 1 || (hosts == 0 && !head.http_1_0)) {
    return rejected(std::move(head), 400, "not one Host");
  }
  if (!parse_host(header_value(head.fields, "Host"))) {
    return rejected(std::move(head), 400, "Host malformed");
  }
  if (head.method == "CONNECT") {
    return rejected(std::move(head), 400, "no tunnels");
  }
  return head;
}

HttpHead parse_response_head(std::string_view text) {
  return parse_head(text, HTTP_RESPONSE);
}

}  // namespace mosskeel
