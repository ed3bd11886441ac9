#include "net/http_request_reader.hpp"

#include <algorithm>

#include "net/http_fields.hpp"
#include "net/http_syntax.hpp"

namespace mosskeel {
namespace {

/// Returns the fields to forward to the replica. Expect is handled by this server and removed.
HeaderFields request_fields(const HeaderFields& fields) {
  auto kept = end_to_end_fields(fields);
  std::erase_if(kept, [](const HeaderField& field) { return equals_ignoring_case(field.name, "Expect"); });
  return kept;
}

}  // namespace

HttpRequestReader::Progress HttpRequestReader::read(const HttpRequestLimits& limits) {
  if (!in_body_) {
    auto result = read_head(limits);
    if (result != Progress::complete) {
      return result;
    }
  }
  return read_body(limits);
}

HttpRequestReader::Progress HttpRequestReader::reject(uint32_t status) {
  rejection_status_ = status;
  return Progress::rejected;
}

void HttpRequestReader::discard() {
  std::string().swap(received_);
  request_ = {};
  scanned_ = 0;
}

void HttpRequestReader::consume(size_t bytes) {
  received_.erase(0, bytes);
  if (received_.empty()) {
    // Frees the buffer, so that thousands of idle connections hold no memory.
    std::string().swap(received_);
  }
}

HttpRequestReader::Progress HttpRequestReader::read_head(const HttpRequestLimits& limits) {
  if (scanned_ == 0) {
    // Empty lines before a request are skipped (RFC 9112, section 2.2).
    consume(std::min(received_.find_first_not_of("\r\n"), received_.size()));
  }
  is_head_method_ = false;
  auto scan = scan_head(received_, scanned_);
  if (scan == HeadScan::malformed) {
    return reject(400);
  }
  if (scanned_ > limits.max_head_bytes) {
    return reject(431);
  }
  if (scan == HeadScan::incomplete) {
    return Progress::incomplete;
  }
  auto head = parse_request_head(std::string_view(received_).substr(0, scanned_));
  consume(std::exchange(scanned_, 0));
  if (head.rejection_status) {
    return reject(head.rejection_status);
  }
  if (head.content_length.value_or(0) > limits.max_body_bytes) {
    return reject(413);
  }
  begin_body(std::move(head));
  return Progress::complete;
}

void HttpRequestReader::begin_body(HttpHead head) {
  in_body_ = true;
  http_1_0_ = head.http_1_0;
  closes_connection_ = head.closes_connection;
  is_head_method_ = head.method == "HEAD";
  chunked_ = head.chunked;
  body_remaining_ = head.content_length.value_or(0);
  decoder_ = ChunkedDecoder();
  bool has_body = chunked_ || body_remaining_ > 0;
  expects_continue_ = has_body && !http_1_0_ && received_.empty() && has_token(head.fields, "Expect", "100-continue");
  request_.host = parse_host(header_value(head.fields, "Host")).value_or("");
  request_.method = std::move(head.method);
  request_.target = std::move(head.target);
  request_.fields = request_fields(head.fields);
  request_.body.clear();
}

HttpRequestReader::Progress HttpRequestReader::read_body(const HttpRequestLimits& limits) {
  auto result = chunked_ ? read_chunked_body(limits) : read_sized_body();
  if (result == Progress::complete) {
    in_body_ = false;
    expects_continue_ = false;
  }
  return result;
}

HttpRequestReader::Progress HttpRequestReader::read_chunked_body(const HttpRequestLimits& limits) {
  auto consumed = decoder_.decode(received_, request_.body);
  if (decoder_.malformed()) {
    return reject(400);
  }
  if (request_.body.size() > limits.max_body_bytes) {
    return reject(413);
  }
  consume(consumed);
  return decoder_.done() ? Progress::complete : Progress::incomplete;
}

HttpRequestReader::Progress HttpRequestReader::read_sized_body() {
  auto size = std::min<uint64_t>(body_remaining_, received_.size());
  request_.body.append(received_, 0, size);
  body_remaining_ -= size;
  consume(size);
  return body_remaining_ == 0 ? Progress::complete : Progress::incomplete;
}

}  // namespace mosskeel
