#include "net/http_response_writer.hpp"

#include <http_parser.h>

#include <charconv>

#include "net/http_fields.hpp"

namespace mosskeel {
namespace {

std::string chunk_size_line(size_t size) {
  char digits[2 * sizeof size];
  auto written = std::to_chars(std::begin(digits), std::end(digits), size, 16);
  return std::string(digits, written.ptr) + "\r\n";
}

/// Responses with these statuses have neither a body nor framing fields (RFC 9110, section 6.4.1).
bool never_has_body(uint32_t status) {
  return status < 200 || status == 204 || status == 304;
}

std::string status_line(uint32_t status) {
  return "HTTP/1.1 " + std::to_string(status) + " " + http_status_str(static_cast<http_status>(status)) + "\r\n";
}

}  // namespace

void HttpResponseWriter::begin(bool http_1_0, bool is_head_method) {
  http_1_0_ = http_1_0;
  without_body_ = is_head_method;
  head_written_ = false;
  chunked_ = false;
  body_remaining_.reset();
}

void HttpResponseWriter::write_head(uint32_t status, const HeaderFields& fields, std::optional<uint64_t> content_length,
                                    bool keep_alive, std::string& out) {
  head_written_ = true;
  without_body_ = without_body_ || never_has_body(status);
  chunked_ = !content_length && !http_1_0_ && !without_body_;
  if (!without_body_) {
    body_remaining_ = content_length;
  }
  out += status_line(status);
  for (const auto& field : end_to_end_fields(fields)) {
    if (is_valid_field(field)) {
      out += field.name + ": " + field.value + "\r\n";
    }
  }
  if (!never_has_body(status)) {
    if (content_length) {
      out += "Content-Length: " + std::to_string(*content_length) + "\r\n";
    } else if (!http_1_0_) {
      out += "Transfer-Encoding: chunked\r\n";
    }
  }
  if (!keep_alive) {
    out += "Connection: close\r\n";
  }
  out += "\r\n";
}

bool HttpResponseWriter::write_body(std::string_view bytes, std::string& out) {
  if (without_body_ || bytes.empty()) {
    return true;
  }
  if (body_remaining_) {
    if (bytes.size() > *body_remaining_) {
      return false;
    }
    *body_remaining_ -= bytes.size();
  }
  if (chunked_) {
    out += chunk_size_line(bytes.size());
  }
  out += bytes;
  if (chunked_) {
    out += "\r\n";
  }
  return true;
}

bool HttpResponseWriter::write_end(std::string& out) {
  if (!head_written_ || body_remaining_.value_or(0) > 0) {
    return false;
  }
  if (chunked_) {
    out += "0\r\n\r\n";
  }
  return true;
}

}  // namespace mosskeel
